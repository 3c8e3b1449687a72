#pragma once

// Defines the member functions of order_attempt; only order_attempt.hpp includes this
// file.
#include "curranthoist/execution/order_attempt.hpp"

#include <algorithm>
#include <utility>

namespace curranthoist::execution {

template <routing::replica_choice Choice, routing::hedging Hedging, retry_policy Retry>
order_attempt<Choice, Hedging, Retry>::order_attempt(
    context_type& context, std::shared_ptr<const routing::service_map> map,
    const order_options& options)
    : context_(context)
    , map_(std::move(map))
    , options_(options)
{}

template <routing::replica_choice Choice, routing::hedging Hedging, retry_policy Retry>
order_attempt<Choice, Hedging, Retry>::~order_attempt()
{
    if (state_ == state::sent) {
        context_.loads.on_done(current_.target);
    }
}

template <routing::replica_choice Choice, routing::hedging Hedging, retry_policy Retry>
auto order_attempt<Choice, Hedging, Retry>::start(base::instant now) -> actions
{
    actions out;
    if (now + min_time_to_send >= answer_time()) {
        end_without_claim(order_outcome::unknown,
                          "the deadline leaves no time to claim the request id; this "
                          "attempt sent nothing",
                          {}, out);
        return out;
    }
    claim(out);
    return out;
}

template <routing::replica_choice Choice, routing::hedging Hedging, retry_policy Retry>
auto order_attempt<Choice, Hedging, Retry>::on_claim_reply(base::instant now,
                                                           const claim_reply& reply)
    -> actions
{
    actions out;
    const bool granted = reply.answer == wire::claim_answer::granted;
    if (reply.attempt != options_.attempt) {
        return out;
    }
    if (claim_abandoned_ && granted) {
        // The grant arrived after abandon_claim() had already sent its record, so the
        // record is sent again.
        claim_abandoned_ = false;
        conclude(now, order_outcome::not_run, {}, {}, out);
        return out;
    }
    if (state_ != state::claiming || next_claim_time_) {
        return out;
    }
    switch (reply.answer) {
    case wire::claim_answer::granted:
        send_or_conclude(now, "no usable target", out);
        break;
    case wire::claim_answer::ran:
        end_without_claim(order_outcome::ran, {}, reply.body, out);
        break;
    case wire::claim_answer::pending:
        end_without_claim(order_outcome::unknown,
                          "another attempt of this request is in progress", {}, out);
        break;
    case wire::claim_answer::unknown:
        end_without_claim(order_outcome::unknown,
                          "an earlier attempt of this request ended without a known "
                          "outcome",
                          {}, out);
        break;
    case wire::claim_answer::expired:
        end_without_claim(order_outcome::unknown,
                          "the request id is too old to tell whether it ran", {}, out);
        break;
    case wire::claim_answer::too_new:
        end_without_claim(order_outcome::not_run,
                          "the time in the request id is in the future", {}, out);
        break;
    case wire::claim_answer::unavailable:
        next_claim_time_ = now + claim_retry_interval;
        break;
    }
    return out;
}

template <routing::replica_choice Choice, routing::hedging Hedging, retry_policy Retry>
auto order_attempt<Choice, Hedging, Retry>::on_claim_lost(base::instant now) -> actions
{
    actions out;
    if (state_ == state::claiming && !next_claim_time_) {
        abandon_claim(now, "the reply to the claim was lost; this attempt sent nothing",
                      out);
    }
    return out;
}

template <routing::replica_choice Choice, routing::hedging Hedging, retry_policy Retry>
auto order_attempt<Choice, Hedging, Retry>::on_order_reply(base::instant now,
                                                           const order_reply& reply)
    -> actions
{
    actions out;
    if (!is_current(reply.send)) {
        return out;
    }
    context_.loads.on_done(current_.target);
    // An order whose caller was answered is never sent again: the answer was "outcome
    // unknown", and the caller may act on it.
    if (reply.status == wire::part_status::ok && !reply.not_run) {
        conclude(now, order_outcome::ran, {}, reply.body, out);
    }
    else if (retry_policy_.may_send_again(reply) && !answered_) {
        send_or_conclude(now, "every usable target refused the order", out);
    }
    else if (reply.not_run && reply.status != wire::part_status::ok) {
        conclude(now, order_outcome::not_run, "the target refused the order", {}, out);
    }
    else {
        conclude(now, order_outcome::unknown, "the target may have run the order", {},
                 out);
    }
    return out;
}

template <routing::replica_choice Choice, routing::hedging Hedging, retry_policy Retry>
auto order_attempt<Choice, Hedging, Retry>::on_not_sent(base::instant now,
                                                        std::uint64_t send) -> actions
{
    order_reply reply;
    reply.send = send;
    reply.not_run = true;
    return on_order_reply(now, reply);
}

template <routing::replica_choice Choice, routing::hedging Hedging, retry_policy Retry>
auto order_attempt<Choice, Hedging, Retry>::on_owner_lost(base::instant now,
                                                          const base::vm_id& owner)
    -> actions
{
    if (state_ != state::sent || current_.owner != owner) {
        return {};
    }
    order_reply reply;
    reply.send = options_.first_send + sends_ - 1;
    reply.status = wire::part_status::outcome_unknown;
    return on_order_reply(now, reply);
}

template <routing::replica_choice Choice, routing::hedging Hedging, retry_policy Retry>
auto order_attempt<Choice, Hedging, Retry>::on_outcome_recorded(base::instant) -> actions
{
    actions out;
    if (state_ == state::recording) {
        state_ = state::done;
        answer(std::move(final_answer_), out);
    }
    return out;
}

template <routing::replica_choice Choice, routing::hedging Hedging, retry_policy Retry>
auto order_attempt<Choice, Hedging, Retry>::on_time(base::instant now) -> actions
{
    actions out;
    if (state_ == state::claiming && now >= answer_time()) {
        abandon_claim(now,
                      "the claim was not answered before the deadline; this attempt sent "
                      "nothing",
                      out);
    }
    else if (state_ == state::claiming && next_claim_time_ && now >= *next_claim_time_) {
        claim(out);
    }
    else if (state_ == state::sent && now >= answer_time()) {
        on_send_overdue(now, out);
    }
    else if (state_ == state::recording) {
        if (now >= answer_time()) {
            answer(final_answer_, out);
        }
        if (now >= record_deadline_) {
            state_ = state::done;
        }
        else if (now >= next_record_time_) {
            record(now, out);
        }
    }
    return out;
}

template <routing::replica_choice Choice, routing::hedging Hedging, retry_policy Retry>
auto order_attempt<Choice, Hedging, Retry>::on_caller_gone(base::instant now) -> actions
{
    actions out;
    answered_ = true;
    if (state_ == state::claiming) {
        abandon_claim(now, {}, out);
    }
    return out;
}

template <routing::replica_choice Choice, routing::hedging Hedging, retry_policy Retry>
base::instant order_attempt<Choice, Hedging, Retry>::next_wakeup() const
{
    switch (state_) {
    case state::claiming:
        return std::min(answer_time(), next_claim_time_.value_or(base::instant::max()));
    case state::sent:
        return answered_ ? options_.deadline + late_reply_grace_period : answer_time();
    case state::recording:
        return answered_ ? std::min(next_record_time_, record_deadline_)
                         : std::min({next_record_time_, record_deadline_, answer_time()});
    case state::idle:
    case state::done:
        break;
    }
    return base::instant::max();
}

template <routing::replica_choice Choice, routing::hedging Hedging, retry_policy Retry>
bool order_attempt<Choice, Hedging, Retry>::finished() const
{
    return state_ == state::done;
}

template <routing::replica_choice Choice, routing::hedging Hedging, retry_policy Retry>
void order_attempt<Choice, Hedging, Retry>::claim(actions& out)
{
    state_ = state::claiming;
    next_claim_time_.reset();
    out.push_back(claim_order{options_.attempt});
}

template <routing::replica_choice Choice, routing::hedging Hedging, retry_policy Retry>
void order_attempt<Choice, Hedging, Retry>::send_or_conclude(base::instant now,
                                                             std::string_view failure,
                                                             actions& out)
{
    if (now + min_time_to_send >= answer_time()) {
        conclude(now, order_outcome::not_run, "the deadline leaves no time to send", {},
                 out);
        return;
    }
    const routing::replica* replica = sends_ < max_sends ? choose(now) : nullptr;
    if (replica == nullptr) {
        conclude(now, order_outcome::not_run, failure, {}, out);
        return;
    }
    current_ = *replica;
    tried_targets_.insert(current_.target);
    state_ = state::sent;
    context_.loads.on_sent(now, current_.target);
    out.push_back(send_order{options_.first_send + sends_, current_, answer_time()});
    ++sends_;
}

template <routing::replica_choice Choice, routing::hedging Hedging, retry_policy Retry>
void order_attempt<Choice, Hedging, Retry>::conclude(base::instant now,
                                                     order_outcome outcome,
                                                     std::string_view text,
                                                     std::string body, actions& out)
{
    state_ = state::recording;
    final_answer_ = answer_order{outcome, text, std::move(body)};
    record_deadline_ = now + record_timeout;
    record(now, out);
}

template <routing::replica_choice Choice, routing::hedging Hedging, retry_policy Retry>
void order_attempt<Choice, Hedging, Retry>::end_without_claim(order_outcome outcome,
                                                              std::string_view text,
                                                              std::string body,
                                                              actions& out)
{
    state_ = state::done;
    answer(answer_order{outcome, text, std::move(body)}, out);
}

// Control may have granted the claim. This attempt never sends, so recording "not run"
// releases the request id for the caller's next attempt. Control ignores the record if
// another attempt holds the claim.
template <routing::replica_choice Choice, routing::hedging Hedging, retry_policy Retry>
void order_attempt<Choice, Hedging, Retry>::abandon_claim(base::instant now,
                                                          std::string_view text,
                                                          actions& out)
{
    const bool claim_in_flight = !next_claim_time_;
    claim_abandoned_ = claim_in_flight;
    end_without_claim(order_outcome::unknown, text, {}, out);
    if (claim_in_flight) {
        conclude(now, order_outcome::not_run, {}, {}, out);
    }
}

// Answers the caller before the deadline, but delays the record by
// late_reply_grace_period, because a late reply still determines the outcome of the
// order.
template <routing::replica_choice Choice, routing::hedging Hedging, retry_policy Retry>
void order_attempt<Choice, Hedging, Retry>::on_send_overdue(base::instant now,
                                                            actions& out)
{
    answer(answer_order{order_outcome::unknown,
                        "the target's response did not arrive before the deadline",
                        {}},
           out);
    if (now >= options_.deadline + late_reply_grace_period) {
        context_.loads.on_done(current_.target);
        conclude(now, order_outcome::unknown, {}, {}, out);
    }
}

template <routing::replica_choice Choice, routing::hedging Hedging, retry_policy Retry>
void order_attempt<Choice, Hedging, Retry>::record(base::instant now, actions& out)
{
    next_record_time_ = now + record_retry_interval;
    wire::claim_result result = wire::claim_result::unknown;
    if (final_answer_.outcome != order_outcome::unknown) {
        result = final_answer_.outcome == order_outcome::ran
                     ? wire::claim_result::ran
                     : wire::claim_result::not_run;
    }
    out.emplace_back(std::in_place_type<record_outcome>,
                     record_outcome{options_.attempt, result, final_answer_.body});
}

template <routing::replica_choice Choice, routing::hedging Hedging, retry_policy Retry>
void order_attempt<Choice, Hedging, Retry>::answer(answer_order value, actions& out)
{
    if (!answered_) {
        answered_ = true;
        out.emplace_back(std::in_place_type<answer_order>, std::move(value));
    }
}

template <routing::replica_choice Choice, routing::hedging Hedging, retry_policy Retry>
const routing::replica* order_attempt<Choice, Hedging, Retry>::choose(base::instant now)
{
    std::vector<routing::candidate> candidates;
    std::vector<routing::candidate> fallback_candidates;
    if (map_) {
        for (const routing::replica& replica : map_->targets) {
            if (tried_targets_.count(replica.target) > 0) {
                continue;
            }
            auto& replicas = context_.disconnected_owners.count(replica.owner) > 0
                                 ? fallback_candidates
                                 : candidates;
            replicas.push_back({&replica, context_.loads.of(replica.target)});
        }
    }
    if (candidates.empty()) {
        candidates = std::move(fallback_candidates);
    }
    if (candidates.empty()) {
        return nullptr;
    }
    return candidates[context_.choice.choose(candidates, now, context_.random)].where;
}

} // namespace curranthoist::execution
