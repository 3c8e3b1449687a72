#pragma once

#include "curranthoist/forwarding/request_action.hpp"
#include "curranthoist/frontd/gathered_parts.hpp"
#include "curranthoist/frontd/group_send.hpp"
#include "curranthoist/frontd/target_send.hpp"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace curranthoist::forwarding {
class request_attempts;
}

namespace curranthoist::frontd {

// What was sent for one caller's request, and what came back.
class request_sends
{
public:
    // Returns the send of a call, which is added if it is new.
    target_send& add(forwarding::call_id call) { return sends_[call]; }
    [[nodiscard]] target_send& at(forwarding::call_id call) { return sends_.at(call); }
    // Returns the send of a call, or null if there is none.
    [[nodiscard]] target_send* find(forwarding::call_id call);
    [[nodiscard]] std::size_t count() const { return sends_.size(); }

    // Returns true if there is a send to the target.
    [[nodiscard]] bool has_sent_to(const base::target_id& target) const;

    // Adds a group and returns its index.
    std::size_t add_group(group_send group);
    [[nodiscard]] group_send& group(std::size_t index) { return groups_[index]; }
    [[nodiscard]] std::span<group_send> groups() { return groups_; }
    [[nodiscard]] std::span<const group_send> groups() const { return groups_; }
    // Returns true if the gatherer has reported each of the group's calls.
    [[nodiscard]] bool is_complete(const group_send& group) const;

    // The index that the next report gets.
    [[nodiscard]] std::size_t next_report() const { return reports_.size(); }
    void add_report(gathered_parts parts) { reports_.push_back(std::move(parts)); }

    // Builds the caller's response from the successful answers of these calls.
    [[nodiscard]] http::caller_response
    gathered_response(std::span<const forwarding::call_id> answers,
                      std::size_t shard_count, std::size_t top_records) const;

    // Returns the target of the last send.
    [[nodiscard]] const base::target_id& last_target() const
    {
        return sends_.rbegin()->second.target;
    }
    // The last target of each shard without a successful answer, for the log.
    [[nodiscard]] std::string
    targets_without_answer(const forwarding::request_attempts& run) const;
    // Returns the shards below `shard_count` that were never sent.
    [[nodiscard]] std::vector<std::size_t> unsent_shards(std::size_t shard_count) const;

private:
    std::map<forwarding::call_id, target_send> sends_;
    std::vector<group_send> groups_;
    std::vector<gathered_parts> reports_;
};

} // namespace curranthoist::frontd
