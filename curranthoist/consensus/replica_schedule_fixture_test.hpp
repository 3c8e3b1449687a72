#pragma once

#include "curranthoist/consensus/replica.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace curranthoist::consensus::testing_support {

// Whether a member that lost its disk starts again under its old identity, which the
// system's rules exclude.
struct new_identities
{
    static constexpr bool reuse_lost_identity = false;
};

// Checks what the replicas of one schedule say against what all of them said before. The
// first violation is kept as text; nothing is asserted, so that a test can also require
// one.
class schedule_checker
{
public:
    [[nodiscard]] const std::string& violation() const { return violation_; }
    [[nodiscard]] base::log_index highest_acknowledged() const { return acknowledged_; }

    void committed(const base::member_id& by, const storage::log_entry& entry)
    {
        const auto [known, added] = entries_.try_emplace(entry.index, entry);
        if (!added && known->second != entry) {
            report("two values at index " + std::to_string(entry.index.value()) +
                   ", second by " + by.str());
        }
    }
    void acknowledged(base::log_index index)
    {
        acknowledged_ = std::max(acknowledged_, index);
    }
    // `state` holds the commands up to `index` as restored or applied by a member.
    void state(const base::member_id& by, base::log_index index,
               const std::vector<std::uint8_t>& state)
    {
        std::vector<std::uint8_t> expected;
        for (const auto& [at, entry] : entries_) {
            if (at <= index && entry.kind == storage::entry_kind::command) {
                expected.insert(expected.end(), entry.data.begin(), entry.data.end());
            }
        }
        if (state != expected) {
            report("wrong state at index " + std::to_string(index.value()) + " in " +
                   by.str());
        }
    }
    void leads(base::term term, const base::member_id& id, bool is_voter)
    {
        const auto [known, added] = leaders_.try_emplace(term, id);
        if (added && !is_voter) {
            report("a member leads that no membership entry made a voter: " + id.str());
        }
        if (!added && known->second != id) {
            report("two leaders in term " + std::to_string(term.value()));
        }
    }
    void commit_index(base::log_index before, base::log_index after)
    {
        if (after < before) {
            report("commit index went back");
        }
    }
    void lost_disk(const base::member_id& id) { lost_.insert(id); }
    void sent_vote(const base::member_id& by, const vote_reply& reply,
                   const base::member_id& candidate, bool is_member)
    {
        if (!reply.granted) {
            return;
        }
        if (lost_.contains(by)) {
            report("a member without its state voted: " + by.str());
        }
        if (!is_member) {
            report("a member voted that no membership entry names: " + by.str());
        }
        if (reply.pre_vote) {
            return;
        }
        const auto [known, added] =
            votes_.try_emplace(std::pair(by, reply.term), candidate);
        if (!added && known->second != candidate) {
            report("two votes in one term by " + by.str());
        }
    }
    void read_confirmed(base::log_index begun_after, base::log_index index)
    {
        if (index < begun_after) {
            report("a confirmed read misses an acknowledged write");
        }
    }
    void report(const std::string& text)
    {
        if (violation_.empty()) {
            violation_ = text;
        }
    }

private:
    std::string violation_;
    std::map<base::log_index, storage::log_entry> entries_;
    std::map<base::term, base::member_id> leaders_;
    std::map<std::pair<base::member_id, base::term>, base::member_id> votes_;
    std::set<base::member_id> lost_;
    base::log_index acknowledged_;
};

// One member: a replica, what its disk holds, and the commands it has applied.
template <class Rules>
class scheduled_member
{
public:
    scheduled_member(base::member_id id, const std::vector<storage::log_entry>& first)
    {
        disk_.identity = std::move(id);
        disk_.entries = first;
        disk_.vote.term = first.empty() ? base::term() : first.back().term;
    }

    [[nodiscard]] const base::member_id& id() const { return disk_.identity; }
    [[nodiscard]] bool is_up() const { return replica_ != nullptr; }
    [[nodiscard]] basic_replica<Rules>& replica() { return *replica_; }
    [[nodiscard]] bool leads() const { return replica_ && replica_->is_leader(); }
    [[nodiscard]] const std::vector<std::uint8_t>& applied() const { return applied_; }
    [[nodiscard]] base::log_index applied_index() const { return applied_index_; }

    void start(const replica_options& options, std::uint64_t seed, base::instant now)
    {
        applied_.clear();
        applied_index_ = {};
        writes_.clear();
        unreported_ = 0;
        replica_ = std::make_unique<basic_replica<Rules>>(disk_, options, seed, now);
    }
    // Stops the member. Writes under way reach the disk in order up to a random one.
    void crash(base::random_source& random)
    {
        const std::uint64_t survive = random.below(writes_.size() + 1);
        for (std::uint64_t i = 0; i < survive; ++i) {
            perform(writes_[i]);
        }
        writes_.clear();
        replica_.reset();
    }
    void lose_disk()
    {
        writes_.clear();
        replica_.reset();
        const base::member_id id = disk_.identity;
        disk_ = {};
        disk_.identity = id;
    }
    void add_writes(std::vector<disk_write> writes)
    {
        std::move(writes.begin(), writes.end(), std::back_inserter(writes_));
    }
    // True while a write is not performed, or performed and not reported.
    [[nodiscard]] bool has_writes() const { return !writes_.empty() || unreported_ != 0; }
    // Performs one write, or reports the performed ones.
    void disk_step(base::random_source& random, base::instant now)
    {
        if (unreported_ != 0 && (writes_.empty() || random.chance(0.5))) {
            replica_->on_disk_done(std::exchange(unreported_, 0), now);
        }
        else if (!writes_.empty()) {
            perform(writes_.front());
            unreported_ = writes_.front().number;
            writes_.pop_front();
        }
    }
    void apply(const storage::log_entry& entry)
    {
        if (entry.kind == storage::entry_kind::command) {
            applied_.insert(applied_.end(), entry.data.begin(), entry.data.end());
        }
        applied_index_ = entry.index;
    }
    void restore(const storage::log_snapshot& snapshot)
    {
        applied_ = snapshot.data;
        applied_index_ = snapshot.index;
    }

private:
    void perform(const disk_write& write)
    {
        if (const auto* vote = std::get_if<storage::vote_record>(&write.content)) {
            disk_.vote = *vote;
        }
        else if (const auto* append = std::get_if<append_write>(&write.content)) {
            const base::log_index first = append->entries.front().index;
            std::erase_if(disk_.entries,
                          [&](const auto& entry) { return entry.index >= first; });
            disk_.entries.insert(disk_.entries.end(), append->entries.begin(),
                                 append->entries.end());
        }
        else if (const auto* stored = std::get_if<snapshot_write>(&write.content)) {
            disk_.snapshot = stored->snapshot;
            std::erase_if(disk_.entries, [&](const auto& entry) {
                return stored->discard_log || entry.index <= stored->snapshot->index;
            });
        }
    }

    storage::recovered_log disk_;
    std::deque<disk_write> writes_;
    std::uint64_t unreported_ = 0;
    std::unique_ptr<basic_replica<Rules>> replica_;
    std::vector<std::uint8_t> applied_;
    base::log_index applied_index_;
};

} // namespace curranthoist::consensus::testing_support
