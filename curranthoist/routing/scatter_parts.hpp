#pragma once

// The sends and the response of scatter; included by its header only.
#include "curranthoist/routing/scatter.hpp"

#include <algorithm>

namespace curranthoist::routing {

template <replica_choice Choice, hedging Hedging, reply_check Check>
void scatter<Choice, Hedging, Check>::send(base::instant now, std::size_t number,
                                           const replica& where, actions& out)
{
    shard_state& shard = shards_[number];
    const part_attempt sent{next_part_++, static_cast<std::uint32_t>(number), where, now};
    ++shard.attempts;
    shard.tried.insert(where.target);
    shard.open.push_back(open_attempt{sent, false});
    context_.loads.on_sent(now, where.target);
    // One message per owner VM: joins the message that this event sends there already.
    for (scatter_action& action : out) {
        auto* message = std::get_if<send_parts>(&action);
        if (message != nullptr && message->owner == where.owner &&
            message->snapshot == version_) {
            message->parts.push_back(sent);
            return;
        }
    }
    out.emplace_back(std::in_place_type<send_parts>,
                     send_parts{where.owner, version_, answer_time(), {sent}});
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
const replica* scatter<Choice, Hedging, Check>::choose(base::instant now,
                                                       std::size_t number,
                                                       bool only_unloaded)
{
    std::vector<candidate> connected;
    std::vector<candidate> lost;
    for (const replica& where : map_->snapshots.at(version_).shards[number]) {
        const target_load load = context_.loads.of(where.target);
        if (shards_[number].tried.count(where.target) > 0 ||
            (only_unloaded && !context_.hedge.accepts(load))) {
            continue;
        }
        auto& list = context_.lost_owners.count(where.owner) > 0 ? lost : connected;
        list.push_back(candidate{&where, load});
    }
    const auto& candidates = connected.empty() ? lost : connected;
    if (candidates.empty()) {
        return nullptr;
    }
    return candidates[context_.choice.choose(candidates, now, context_.random)].where;
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
void scatter<Choice, Hedging, Check>::close_attempts(shard_state& shard, actions& out)
{
    for (const open_attempt& attempt : shard.open) {
        may_have_run_ = true;
        context_.loads.on_done(attempt.sent.where.target);
        out.emplace_back(std::in_place_type<cancel_part>,
                         cancel_part{attempt.sent.where.owner, attempt.sent.part});
    }
    shard.open.clear();
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
void scatter<Choice, Hedging, Check>::finish_if_done(actions& out)
{
    const bool open =
        std::any_of(shards_.begin(), shards_.end(), [](const shard_state& shard) {
            return !shard.answered && !shard.open.empty();
        });
    if (!open) {
        finish(out);
    }
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
void scatter<Choice, Hedging, Check>::finish(actions& out)
{
    for (shard_state& shard : shards_) {
        if (!shard.open.empty() && !shard.answered) {
            shard.reason = "no reply arrived before the deadline";
        }
        close_attempts(shard, out);
    }
    respond response = result();
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
respond scatter<Choice, Hedging, Check>::result()
{
    respond response;
    response.answered = true;
    response.snapshot = version_;
    response.total = static_cast<std::uint32_t>(shards_.size());
    for (std::size_t number = 0; number < shards_.size(); ++number) {
        shard_state& shard = shards_[number];
        if (shard.answered) {
            response.results.push_back(
                {base::shard_number(number), std::move(shard.body)});
        }
        else {
            response.missing.push_back(
                {base::shard_number(number), std::move(shard.reason)});
        }
    }
    return response;
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
void scatter<Choice, Hedging, Check>::count_late(const part_reply& reply)
{
    const std::uint64_t number = reply.shard.value();
    if (check_.counts_late(reply) && number < shards_.size()) {
        shards_[number].answered = true;
        shards_[number].body = reply.body;
    }
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
auto scatter<Choice, Hedging, Check>::find_open(std::uint64_t part) const
    -> std::pair<std::size_t, std::size_t>
{
    for (std::size_t number = 0; number < shards_.size(); ++number) {
        const auto& open = shards_[number].open;
        for (std::size_t index = 0; index < open.size(); ++index) {
            if (open[index].sent.part == part) {
                return {number, index};
            }
        }
    }
    return {shards_.size(), 0};
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
base::duration scatter<Choice, Hedging, Check>::silence() const
{
    return std::max(context_.latencies.p95() * silence_factor, shortest_silence);
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
base::instant
scatter<Choice, Hedging, Check>::shard_wakeup(const shard_state& shard) const
{
    if (shard.attempts >= most_attempts) {
        return base::instant::max();
    }
    base::instant next = shard.open.back().sent.sent + silence();
    const auto delay = context_.hedge.delay(context_.latencies.p95());
    if (shard.attempts == 1 && delay) {
        next = std::min(next, shard.open.front().sent.sent + *delay);
    }
    return std::max(next, shard.next_try);
}

} // namespace curranthoist::routing
