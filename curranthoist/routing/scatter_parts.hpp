#pragma once

// Sends and the response of scatter. Only scatter.hpp includes this file.
#include "curranthoist/routing/scatter.hpp"

#include <algorithm>

namespace curranthoist::routing {

template <replica_choice Choice, hedging Hedging, reply_check Check>
void scatter<Choice, Hedging, Check>::send(base::instant now, std::size_t shard_index,
                                           const replica& where, actions& out)
{
    shard_state& shard = shards_[shard_index];
    const part_attempt part{next_part_++, static_cast<std::uint32_t>(shard_index), where,
                            now};
    ++shard.attempts;
    shard.tried.insert(where.target);
    shard.open_attempts.push_back(open_attempt{part, false});
    context_.loads.on_sent(now, where.target);
    // Each event sends at most one message to an owner VM, so the part is added to a
    // message that this event already sends there.
    for (scatter_action& action : out) {
        auto* message = std::get_if<send_parts>(&action);
        if (message != nullptr && message->owner == where.owner &&
            message->snapshot == version_) {
            message->parts.push_back(part);
            return;
        }
    }
    out.emplace_back(std::in_place_type<send_parts>,
                     send_parts{where.owner, version_, response_deadline(), {part}});
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
const replica* scatter<Choice, Hedging, Check>::choose_replica(base::instant now,
                                                               std::size_t shard_index,
                                                               bool only_unloaded)
{
    std::vector<candidate> connected;
    std::vector<candidate> disconnected;
    for (const replica& where : map_->snapshots.at(version_).shards[shard_index]) {
        const target_load load = context_.loads.of(where.target);
        if (shards_[shard_index].tried.count(where.target) > 0 ||
            (only_unloaded && !context_.hedge.accepts(load))) {
            continue;
        }
        auto& list = context_.disconnected_owners.count(where.owner) > 0 ? disconnected
                                                                         : connected;
        list.push_back(candidate{&where, load});
    }
    const auto& candidates = connected.empty() ? disconnected : connected;
    if (candidates.empty()) {
        return nullptr;
    }
    return candidates[context_.choice.choose(candidates, now, context_.random)].where;
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
void scatter<Choice, Hedging, Check>::close_attempts(shard_state& shard, actions& out)
{
    for (const open_attempt& attempt : shard.open_attempts) {
        may_have_run_ = true;
        context_.loads.on_done(attempt.part.where.target);
        out.emplace_back(std::in_place_type<cancel_part>,
                         cancel_part{attempt.part.where.owner, attempt.part.part});
    }
    shard.open_attempts.clear();
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
void scatter<Choice, Hedging, Check>::finish_if_done(actions& out)
{
    const bool waiting =
        std::any_of(shards_.begin(), shards_.end(), [](const shard_state& shard) {
            return !shard.responded && !shard.open_attempts.empty();
        });
    if (!waiting) {
        finish(out);
    }
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
void scatter<Choice, Hedging, Check>::finish(actions& out)
{
    for (shard_state& shard : shards_) {
        if (!shard.open_attempts.empty() && !shard.responded) {
            shard.reason = "no reply arrived before the deadline";
        }
        close_attempts(shard, out);
    }
    respond response = build_response();
    if (response.results.empty() ||
        (options_.demand_complete && !response.missing.empty())) {
        refuse(std::to_string(response.missing.size()) + " of " +
                   std::to_string(response.total) +
                   " shards are missing; the first: " + response.missing.front().reason,
               out);
        return;
    }
    finished_ = true;
    out.emplace_back(std::in_place_type<respond>, std::move(response));
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
void scatter<Choice, Hedging, Check>::refuse(std::string text, actions& out)
{
    respond refusal;
    refusal.not_run = !may_have_run_;
    refusal.text = std::move(text);
    refusal.snapshot = version_;
    refusal.total = static_cast<std::uint32_t>(shards_.size());
    finished_ = true;
    out.emplace_back(std::in_place_type<respond>, std::move(refusal));
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
respond scatter<Choice, Hedging, Check>::build_response()
{
    respond response;
    response.answered = true;
    response.snapshot = version_;
    response.total = static_cast<std::uint32_t>(shards_.size());
    for (std::size_t shard_index = 0; shard_index < shards_.size(); ++shard_index) {
        shard_state& shard = shards_[shard_index];
        if (shard.responded) {
            response.results.push_back(
                {base::shard_number(shard_index), std::move(shard.body)});
        }
        else {
            response.missing.push_back(
                {base::shard_number(shard_index), std::move(shard.reason)});
        }
    }
    return response;
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
void scatter<Choice, Hedging, Check>::handle_late_reply(const part_reply& reply)
{
    const std::uint64_t shard_index = reply.shard.value();
    if (check_.accepts_late(reply) && shard_index < shards_.size()) {
        shards_[shard_index].responded = true;
        shards_[shard_index].body = reply.body;
    }
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
auto scatter<Choice, Hedging, Check>::find_open_attempt(std::uint64_t part_number) const
    -> std::pair<std::size_t, std::size_t>
{
    for (std::size_t shard_index = 0; shard_index < shards_.size(); ++shard_index) {
        const auto& attempts = shards_[shard_index].open_attempts;
        for (std::size_t attempt_index = 0; attempt_index < attempts.size();
             ++attempt_index) {
            if (attempts[attempt_index].part.part == part_number) {
                return {shard_index, attempt_index};
            }
        }
    }
    return {shards_.size(), 0};
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
base::duration scatter<Choice, Hedging, Check>::silence_timeout() const
{
    return std::max(context_.latencies.p95() * silence_p95_factor, min_silence_timeout);
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
base::instant
scatter<Choice, Hedging, Check>::shard_wakeup(const shard_state& shard) const
{
    if (shard.attempts >= max_attempts) {
        return base::instant::max();
    }
    base::instant next = shard.open_attempts.back().part.sent + silence_timeout();
    const auto delay = context_.hedge.delay(context_.latencies.p95());
    if (shard.attempts == 1 && delay) {
        next = std::min(next, shard.open_attempts.front().part.sent + *delay);
    }
    return std::max(next, shard.next_extra_send);
}

} // namespace curranthoist::routing
