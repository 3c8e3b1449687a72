#include "curranthoist/frontd/request_sends.hpp"

#include "curranthoist/forwarding/record_merge.hpp"
#include "curranthoist/forwarding/request_attempts.hpp"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace curranthoist::frontd {

target_send* request_sends::find(forwarding::call_id call)
{
    const auto found = sends_.find(call);
    return found == sends_.end() ? nullptr : &found->second;
}

bool request_sends::has_sent_to(const base::target_id& target) const
{
    return std::any_of(sends_.begin(), sends_.end(), [&target](const auto& one) {
        return one.second.target == target;
    });
}

std::size_t request_sends::add_group(group_send group)
{
    groups_.push_back(std::move(group));
    return groups_.size() - 1;
}

bool request_sends::is_complete(const group_send& group) const
{
    return group.reported && std::none_of(group.calls.begin(), group.calls.end(),
                                          [this](forwarding::call_id call) {
                                              return sends_.at(call).open;
                                          });
}

http::caller_response
request_sends::gathered_response(std::span<const forwarding::call_id> answers,
                                 std::size_t shard_count, std::size_t top_records) const
{
    std::vector<std::string_view> signatures;
    std::vector<std::string_view> bodies;
    std::set<std::size_t> used_reports;
    std::set<std::size_t> reported_shards;
    const auto use_report = [&](std::size_t number) {
        if (used_reports.insert(number).second) {
            const gathered_parts& report = reports_[number];
            signatures.insert(signatures.end(), report.signatures.begin(),
                              report.signatures.end());
            bodies.push_back(report.records);
            reported_shards.insert(report.shards.begin(), report.shards.end());
        }
    };
    // The records of a report belong to all of its parts, so that none can be left out,
    // also if another answer has come for the shard since. So those with several parts
    // go first.
    for (const forwarding::call_id call : answers) {
        const target_send& sent = sends_.at(call);
        if (sent.report && reports_[*sent.report].shards.size() > 1) {
            use_report(*sent.report);
        }
    }
    for (const forwarding::call_id call : answers) {
        const target_send& sent = sends_.at(call);
        if (sent.report && !reported_shards.contains(sent.shard)) {
            use_report(*sent.report);
        }
    }
    for (const forwarding::call_id call : answers) {
        const target_send& sent = sends_.at(call);
        if (!sent.report && !reported_shards.contains(sent.shard)) {
            signatures.push_back(sent.response->signature);
            bodies.push_back(sent.response->content.body);
        }
    }
    return platform::gathered_response(signatures, shard_count - signatures.size(),
                                       forwarding::merge_records(bodies, top_records));
}

std::string
request_sends::targets_without_answer(const forwarding::request_attempts& run) const
{
    // Bounds the line when a whole zone is gone.
    constexpr std::size_t max_named = 6;
    std::map<std::size_t, const target_send*> last;
    for (const auto& [call, sent] : sends_) {
        const target_send*& known = last[sent.shard];
        const bool answered = known != nullptr && known->succeeded();
        known = answered ? known : &sent;
    }
    std::string text;
    std::size_t named = 0;
    for (const auto& [shard, sent] : last) {
        if (!sent->succeeded() && named++ < max_named) {
            text += (text.empty() ? "" : ",") + run.service_of(shard).str() + "@" +
                    (sent->group && sent->target.empty()
                         ? groups_[*sent->group].gatherer.str()
                         : sent->target.str());
        }
    }
    return text;
}

std::vector<std::size_t> request_sends::unsent_shards(std::size_t shard_count) const
{
    std::vector<bool> sent(shard_count, false);
    for (const auto& [call, one] : sends_) {
        sent[one.shard] = true;
    }
    std::vector<std::size_t> result;
    for (std::size_t shard = 0; shard < shard_count; ++shard) {
        if (!sent[shard]) {
            result.push_back(shard);
        }
    }
    return result;
}

} // namespace curranthoist::frontd
