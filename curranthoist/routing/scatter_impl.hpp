#pragma once

// The events of scatter; included by its header only.
#include "curranthoist/routing/scatter.hpp"
#include "curranthoist/routing/snapshot_choice.hpp"

#include <algorithm>

namespace curranthoist::routing {

template <replica_choice Choice, hedging Hedging, reply_check Check>
scatter<Choice, Hedging, Check>::scatter(context_type& context,
                                         std::shared_ptr<const service_map> map,
                                         const scatter_options& options)
    : context_(context)
    , map_(std::move(map))
    , options_(options)
{}

template <replica_choice Choice, hedging Hedging, reply_check Check>
scatter<Choice, Hedging, Check>::~scatter()
{
    for (const shard_state& shard : shards_) {
        for (const open_attempt& attempt : shard.open) {
            context_.loads.on_done(attempt.sent.where.target);
        }
    }
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
auto scatter<Choice, Hedging, Check>::start(base::instant now) -> actions
{
    actions out;
    if (!map_) {
        refuse("the service is unknown", out);
        return out;
    }
    if (answer_time() <= now) {
        refuse("the deadline leaves no time to send the query", out);
        return out;
    }
    const auto version = choose_snapshot(*map_, {});
    if (!version) {
        refuse("no snapshot of the service has a usable target", out);
        return out;
    }
    begin(now, *version, out);
    context_.budget.on_first_attempts(
        static_cast<std::int64_t>(map_->snapshots.at(*version).usable_shards()));
    return out;
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
auto scatter<Choice, Hedging, Check>::on_part_reply(base::instant now,
                                                    const base::vm_id& owner,
                                                    const part_reply& reply) -> actions
{
    actions out;
    if (finished_ || reply.query != options_.query) {
        return out;
    }
    const auto [number, index] = find_open(reply.part);
    if (number == shards_.size() ||
        shards_[number].open[index].sent.where.owner != owner) {
        count_late(reply);
        return out;
    }
    shard_state& shard = shards_[number];
    const part_attempt sent = shard.open[index].sent;
    context_.loads.on_report(sent.where.target, reply.queue_length, reply.service_time);
    may_have_run_ =
        may_have_run_ || !reply.not_run || reply.status == wire::part_status::ok;
    const expected_reply expected{options_.query, version_,
                                  static_cast<std::uint32_t>(shards_.size())};
    if (reply.status != wire::part_status::ok) {
        fail(now, number, index, reason_text(reply.status), out);
    }
    else if (check_.matches(expected, sent, reply)) {
        count(now, shard, sent, reply, out);
    }
    else {
        fail(now, number, index, "the reply belongs to another snapshot or shard", out);
    }
    if (reply.status == wire::part_status::snapshot_gone && shard.open.empty()) {
        restart(now, out);
    }
    finish_if_done(out);
    return out;
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
auto scatter<Choice, Hedging, Check>::on_owner_lost(base::instant now,
                                                    const base::vm_id& owner) -> actions
{
    actions out;
    for (std::size_t number = 0; number < shards_.size() && !finished_; ++number) {
        auto& open = shards_[number].open;
        // A retry that fail() sends goes to another target, but maybe to the same owner;
        // it was sent after the loss, so only the attempts that are open now fail.
        for (std::size_t index = open.size(); index-- > 0;) {
            if (open[index].sent.where.owner == owner) {
                may_have_run_ = true;
                fail(now, number, index, "the connection to the target's owner broke",
                     out);
            }
        }
    }
    if (!finished_ && !shards_.empty()) {
        finish_if_done(out);
    }
    return out;
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
auto scatter<Choice, Hedging, Check>::on_time(base::instant now) -> actions
{
    actions out;
    if (finished_) {
        return out;
    }
    if (now >= answer_time()) {
        finish(out);
        return out;
    }
    for (std::size_t number = 0; number < shards_.size(); ++number) {
        if (!shards_[number].open.empty()) {
            watch_shard(now, number, out);
        }
    }
    return out;
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
auto scatter<Choice, Hedging, Check>::cancel(base::instant) -> actions
{
    actions out;
    if (!finished_) {
        for (shard_state& shard : shards_) {
            close_attempts(shard, out);
        }
        finished_ = true;
    }
    return out;
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
base::instant scatter<Choice, Hedging, Check>::next_wakeup() const
{
    if (finished_) {
        return base::instant::max();
    }
    base::instant next = answer_time();
    for (const shard_state& shard : shards_) {
        if (!shard.open.empty()) {
            next = std::min(next, shard_wakeup(shard));
        }
    }
    return next;
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
void scatter<Choice, Hedging, Check>::begin(base::instant now,
                                            base::snapshot_version version, actions& out)
{
    version_ = version;
    shards_.clear();
    shards_.resize(map_->snapshots.at(version).shards.size());
    for (std::size_t number = 0; number < shards_.size(); ++number) {
        if (const replica* where = choose(now, number, false)) {
            send(now, number, *where, out);
        }
        else {
            shards_[number].reason = "no usable target holds the shard";
        }
    }
}

// A version that a target has dropped is likely dropped by others too: starts over on
// another version, unless that one covers less than what this one still can.
template <replica_choice Choice, hedging Hedging, reply_check Check>
void scatter<Choice, Hedging, Check>::restart(base::instant now, actions& out)
{
    excluded_.push_back(version_);
    const auto version = choose_snapshot(*map_, excluded_);
    if (!version || now + context_.latencies.p95() >= answer_time()) {
        excluded_.pop_back();
        return;
    }
    const auto reachable = static_cast<std::size_t>(
        std::count_if(shards_.begin(), shards_.end(), [](const shard_state& shard) {
            return shard.answered || !shard.open.empty();
        }));
    const snapshot_view& other = map_->snapshots.at(*version);
    if (other.usable_shards() * shards_.size() < reachable * other.shards.size()) {
        excluded_.pop_back();
        return;
    }
    for (shard_state& shard : shards_) {
        close_attempts(shard, out);
    }
    begin(now, *version, out);
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
void scatter<Choice, Hedging, Check>::count(base::instant now, shard_state& shard,
                                            const part_attempt& sent,
                                            const part_reply& reply, actions& out)
{
    context_.latencies.add(now - sent.sent);
    shard.answered = true;
    shard.body = reply.body;
    std::erase_if(shard.open, [&](const open_attempt& attempt) {
        return attempt.sent.part == sent.part;
    });
    context_.loads.on_done(sent.where.target);
    for (const open_attempt& slower : shard.open) {
        context_.latencies.add(now - slower.sent.sent);
    }
    close_attempts(shard, out);
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
void scatter<Choice, Hedging, Check>::fail(base::instant now, std::size_t number,
                                           std::size_t index, std::string_view reason,
                                           actions& out)
{
    shard_state& shard = shards_[number];
    context_.loads.on_done(shard.open[index].sent.where.target);
    shard.open.erase(shard.open.begin() + static_cast<std::ptrdiff_t>(index));
    shard.reason = reason;
    if (shard.open.empty()) {
        send_extra(now, number, false, out);
    }
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
void scatter<Choice, Hedging, Check>::watch_shard(base::instant now, std::size_t number,
                                                  actions& out)
{
    shard_state& shard = shards_[number];
    bool all_silent = true;
    for (open_attempt& attempt : shard.open) {
        attempt.silent = attempt.silent || now - attempt.sent.sent >= silence();
        all_silent = all_silent && attempt.silent;
    }
    const auto delay = context_.hedge.delay(context_.latencies.p95());
    const bool hedge_due =
        shard.attempts == 1 && delay && now - shard.open.front().sent.sent >= *delay;
    if ((all_silent || hedge_due) && now >= shard.next_try) {
        shard.next_try = now + next_try_after;
        send_extra(now, number, !all_silent, out);
    }
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
bool scatter<Choice, Hedging, Check>::send_extra(base::instant now, std::size_t number,
                                                 bool only_unloaded, actions& out)
{
    if (shards_[number].attempts >= most_attempts || now >= answer_time()) {
        return false;
    }
    const replica* where = choose(now, number, only_unloaded);
    const bool hedge = only_unloaded;
    if (where == nullptr ||
        !(hedge ? context_.budget.take_for_hedge() : context_.budget.take())) {
        return false;
    }
    ++extra_sends_;
    send(now, number, *where, out);
    return true;
}

} // namespace curranthoist::routing
