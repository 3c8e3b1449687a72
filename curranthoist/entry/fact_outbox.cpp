#include "curranthoist/entry/fact_outbox.hpp"

#include <algorithm>
#include <memory>

namespace curranthoist::entry {

namespace {

bool same(const wire::target_fact_message& a, const wire::target_fact_message& b)
{
    return a.target == b.target && a.boot_id == b.boot_id && a.reachable == b.reachable &&
           a.draining == b.draining && a.cold == b.cold &&
           std::equal(a.snapshots.begin(), a.snapshots.end(), b.snapshots.begin(),
                      b.snapshots.end(), [](const auto& x, const auto& y) {
                          return x->version == y->version && x->shard == y->shard &&
                                 x->shards == y->shards;
                      });
}

} // namespace

void fact_outbox::set(const wire::target_fact_message& fact)
{
    entry& kept = facts_[base::target_id(fact.target)];
    if (same(kept.fact, fact)) {
        return;
    }
    kept = entry{fact, true, 0};
}

void fact_outbox::fill(wire::heartbeat_message& heartbeat)
{
    heartbeat.full_facts = full_;
    for (auto& [target, kept] : facts_) {
        if (full_ || kept.due) {
            heartbeat.facts.push_back(
                std::make_unique<wire::target_fact_message>(kept.fact));
            kept.carried_by = heartbeat.sequence;
        }
    }
    if (full_) {
        full_carried_by_ = heartbeat.sequence;
    }
}

void fact_outbox::on_answered(std::uint64_t sequence)
{
    if (full_ && full_carried_by_ != 0 && full_carried_by_ <= sequence) {
        full_ = false;
        full_carried_by_ = 0;
    }
    for (auto& [target, kept] : facts_) {
        if (kept.carried_by != 0 && kept.carried_by <= sequence) {
            kept.due = false;
        }
    }
}

} // namespace curranthoist::entry
