#pragma once

// Event handlers of scatter. Only scatter.hpp includes this file.
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
        for (const open_attempt& attempt : shard.open_attempts) {
            context_.loads.on_done(attempt.part.where.target);
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
    if (response_deadline() <= now) {
        refuse("the deadline leaves no time to send the query", out);
        return out;
    }
    const auto version = choose_snapshot(*map_, {});
    if (!version) {
        refuse("no snapshot of the service has a usable target", out);
        return out;
    }
    send_first_attempts(now, *version, out);
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
    const auto [shard_index, attempt_index] = find_open_attempt(reply.part);
    if (shard_index == shards_.size() ||
        shards_[shard_index].open_attempts[attempt_index].part.where.owner != owner) {
        handle_late_reply(reply);
        return out;
    }
    shard_state& shard = shards_[shard_index];
    const part_attempt part = shard.open_attempts[attempt_index].part;
    context_.loads.on_report(part.where.target, reply.queue_length, reply.service_time);
    may_have_run_ =
        may_have_run_ || !reply.not_run || reply.status == wire::part_status::ok;
    const expected_reply expected{options_.query, version_,
                                  static_cast<std::uint32_t>(shards_.size())};
    if (reply.status != wire::part_status::ok) {
        fail_attempt(now, shard_index, attempt_index, reason_text(reply.status), out);
    }
    else if (check_.matches(expected, part, reply)) {
        accept_reply(now, shard, part, reply, out);
    }
    else {
        fail_attempt(now, shard_index, attempt_index,
                     "the reply belongs to another snapshot or shard", out);
    }
    if (reply.status == wire::part_status::snapshot_gone && shard.open_attempts.empty()) {
        restart_on_other_snapshot(now, out);
    }
    finish_if_done(out);
    return out;
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
auto scatter<Choice, Hedging, Check>::on_owner_lost(base::instant now,
                                                    const base::vm_id& owner) -> actions
{
    actions out;
    for (std::size_t shard_index = 0; shard_index < shards_.size() && !finished_;
         ++shard_index) {
        auto& attempts = shards_[shard_index].open_attempts;
        // fail_attempt() may send a retry to another target of the same owner. Such a
        // retry is sent after the loss, so only the attempts that are open now fail.
        for (std::size_t attempt_index = attempts.size(); attempt_index-- > 0;) {
            if (attempts[attempt_index].part.where.owner == owner) {
                may_have_run_ = true;
                fail_attempt(now, shard_index, attempt_index,
                             "the connection to the target's owner broke", out);
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
    if (now >= response_deadline()) {
        finish(out);
        return out;
    }
    for (std::size_t shard_index = 0; shard_index < shards_.size(); ++shard_index) {
        if (!shards_[shard_index].open_attempts.empty()) {
            check_shard_timers(now, shard_index, out);
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
    base::instant next = response_deadline();
    for (const shard_state& shard : shards_) {
        if (!shard.open_attempts.empty()) {
            next = std::min(next, shard_wakeup(shard));
        }
    }
    return next;
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
void scatter<Choice, Hedging, Check>::send_first_attempts(base::instant now,
                                                          base::snapshot_version version,
                                                          actions& out)
{
    version_ = version;
    shards_.clear();
    shards_.resize(map_->snapshots.at(version).shards.size());
    for (std::size_t shard_index = 0; shard_index < shards_.size(); ++shard_index) {
        if (const replica* where = choose_replica(now, shard_index, false)) {
            send(now, shard_index, *where, out);
        }
        else {
            shards_[shard_index].reason = "no usable target holds the shard";
        }
    }
}

// Restarts the query on another snapshot version, unless that version covers a smaller
// fraction of its shards than the current version still can. If one target has dropped a
// version, other targets have probably dropped it too.
template <replica_choice Choice, hedging Hedging, reply_check Check>
void scatter<Choice, Hedging, Check>::restart_on_other_snapshot(base::instant now,
                                                                actions& out)
{
    excluded_.push_back(version_);
    const auto version = choose_snapshot(*map_, excluded_);
    if (!version || now + context_.latencies.p95() >= response_deadline()) {
        excluded_.pop_back();
        return;
    }
    const auto covered_shards = static_cast<std::size_t>(
        std::count_if(shards_.begin(), shards_.end(), [](const shard_state& shard) {
            return shard.responded || !shard.open_attempts.empty();
        }));
    const snapshot_view& other = map_->snapshots.at(*version);
    if (other.usable_shards() * shards_.size() < covered_shards * other.shards.size()) {
        excluded_.pop_back();
        return;
    }
    for (shard_state& shard : shards_) {
        close_attempts(shard, out);
    }
    send_first_attempts(now, *version, out);
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
void scatter<Choice, Hedging, Check>::accept_reply(base::instant now, shard_state& shard,
                                                   const part_attempt& part,
                                                   const part_reply& reply, actions& out)
{
    context_.latencies.add(now - part.sent);
    shard.responded = true;
    shard.body = reply.body;
    std::erase_if(shard.open_attempts, [&](const open_attempt& attempt) {
        return attempt.part.part == part.part;
    });
    context_.loads.on_done(part.where.target);
    for (const open_attempt& slower : shard.open_attempts) {
        context_.latencies.add(now - slower.part.sent);
    }
    close_attempts(shard, out);
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
void scatter<Choice, Hedging, Check>::fail_attempt(base::instant now,
                                                   std::size_t shard_index,
                                                   std::size_t attempt_index,
                                                   std::string_view reason, actions& out)
{
    shard_state& shard = shards_[shard_index];
    context_.loads.on_done(shard.open_attempts[attempt_index].part.where.target);
    shard.open_attempts.erase(shard.open_attempts.begin() +
                              static_cast<std::ptrdiff_t>(attempt_index));
    shard.reason = reason;
    if (shard.open_attempts.empty()) {
        send_extra(now, shard_index, false, out);
    }
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
void scatter<Choice, Hedging, Check>::check_shard_timers(base::instant now,
                                                         std::size_t shard_index,
                                                         actions& out)
{
    shard_state& shard = shards_[shard_index];
    bool all_unresponsive = true;
    for (open_attempt& attempt : shard.open_attempts) {
        attempt.unresponsive =
            attempt.unresponsive || now - attempt.part.sent >= silence_timeout();
        all_unresponsive = all_unresponsive && attempt.unresponsive;
    }
    const auto delay = context_.hedge.delay(context_.latencies.p95());
    const bool hedge_due = shard.attempts == 1 && delay &&
                           now - shard.open_attempts.front().part.sent >= *delay;
    if ((all_unresponsive || hedge_due) && now >= shard.next_extra_send) {
        shard.next_extra_send = now + extra_send_retry_interval;
        send_extra(now, shard_index, !all_unresponsive, out);
    }
}

template <replica_choice Choice, hedging Hedging, reply_check Check>
bool scatter<Choice, Hedging, Check>::send_extra(base::instant now,
                                                 std::size_t shard_index,
                                                 bool only_unloaded, actions& out)
{
    if (shards_[shard_index].attempts >= max_attempts || now >= response_deadline()) {
        return false;
    }
    const replica* where = choose_replica(now, shard_index, only_unloaded);
    const bool hedge = only_unloaded;
    if (where == nullptr ||
        !(hedge ? context_.budget.take_for_hedge() : context_.budget.take())) {
        return false;
    }
    ++extra_sends_;
    send(now, shard_index, *where, out);
    return true;
}

} // namespace curranthoist::routing
