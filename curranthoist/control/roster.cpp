#include "curranthoist/control/roster.hpp"

#include "curranthoist/control/configuration.hpp"

#include <algorithm>
#include <memory>

namespace curranthoist::control {

namespace {

bool same_snapshots(const wire::target_fact_message& a,
                    const wire::target_fact_message& b)
{
    return std::equal(a.snapshots.begin(), a.snapshots.end(), b.snapshots.begin(),
                      b.snapshots.end(), [](const auto& one, const auto& other) {
                          return one->version == other->version &&
                                 one->shard == other->shard &&
                                 one->shards == other->shards;
                      });
}

bool same(const wire::target_fact_message& a, const wire::target_fact_message& b)
{
    return a.boot_id == b.boot_id && a.reachable == b.reachable &&
           a.draining == b.draining && a.cold == b.cold && same_snapshots(a, b);
}

} // namespace

bool roster::merge(const base::vm_id& vm, const wire::heartbeat& report,
                   const configuration& current)
{
    if (report.facts() == nullptr) {
        return false;
    }
    bool changed = false;
    for (const wire::target_fact* reported : *report.facts()) {
        wire::target_fact_message fact;
        reported->UnPackTo(&fact);
        const base::target_id target(fact.target);
        const auto assigned = current.assignments.find(target);
        if (assigned == current.assignments.end() || assigned->second.owner != vm) {
            continue;
        }
        const auto known = entries_.find(target);
        if (known != entries_.end() && same(known->second.fact, fact)) {
            continue;
        }
        const std::optional<placement> before = newest(target);
        entries_[target] = entry{std::move(fact), ++sequence_};
        const std::optional<placement> after = newest(target);
        const bool moved = before && after ? before->shard != after->shard
                                           : before.has_value() != after.has_value();
        placement_changes_ += moved ? 1 : 0;
        changed = true;
    }
    return changed;
}

wire::roster_update_message roster::update(std::uint64_t since, bool full) const
{
    wire::roster_update_message message;
    message.sequence = sequence_;
    message.full = full;
    for (const auto& [target, one] : entries_) {
        if (full || one.changed_at > since) {
            message.facts.push_back(
                std::make_unique<wire::target_fact_message>(one.fact));
        }
    }
    return message;
}

std::optional<roster::placement> roster::newest(const base::target_id& target) const
{
    const auto found = entries_.find(target);
    if (found == entries_.end()) {
        return std::nullopt;
    }
    std::optional<placement> best;
    for (const auto& held : found->second.fact.snapshots) {
        const base::snapshot_version version(held->version);
        if (!best || version > best->version) {
            best = placement{version, base::shard_number(held->shard), held->shards};
        }
    }
    return best;
}

bool roster::is_usable(const base::target_id& target) const
{
    const auto found = entries_.find(target);
    return found != entries_.end() && found->second.fact.reachable &&
           !found->second.fact.draining;
}

void roster::clear()
{
    entries_.clear();
    sequence_ = 0;
    ++placement_changes_;
}

} // namespace curranthoist::control
