#include "curranthoist/forwarding/request_attempts.hpp"

#include "curranthoist/forwarding/extra_send_budget.hpp"
#include "curranthoist/forwarding/part_latencies.hpp"
#include "curranthoist/forwarding/query_end.hpp"
#include "curranthoist/forwarding/send_margin.hpp"
#include "curranthoist/forwarding/target_directory.hpp"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <utility>

namespace curranthoist::forwarding {

namespace {

// Limits the sends for one shard. Sends that found no connection do not count as
// attempts, but must not be repeated without limit. Withdrawn ones are limited by the
// targets that become unusable.
constexpr std::size_t max_sends_per_shard = 6;
// Delay before a hedge is tried again that found no target or no budget.
constexpr base::duration hedge_retry_delay{20};
// Time between two decisions on the end of a query that has enough shards.
constexpr base::duration end_check_interval{4};
// Times until the soft deadline at which the end of a query is weighed.
constexpr std::int64_t end_horizons = 4;
// Maximum share of the shards of a request that are hedged. Faults affect a sixth of the
// targets; if far more responses are late, this VM is slow itself, and hedges would slow
// it further.
constexpr double max_hedged_ratio = 0.3;
// Keeps 0.95 of 20 shards at 19 despite rounding errors.
constexpr double rounding_tolerance = 1e-9;

} // namespace

request_attempts::request_attempts(
    const deployment::route& route, std::vector<base::service_id> services,
    request_timing timing, const target_directory& directory, extra_send_budget& budget,
    std::vector<gather_group> groups, query_history history)
    : route_(route)
    , timing_(timing)
    , directory_(directory)
    , budget_(budget)
    , groups_(std::move(groups))
    , history_(history)
{
    shards_.reserve(services.size());
    for (base::service_id& service : services) {
        shards_.push_back({std::move(service), {}, std::nullopt, false, {}});
    }
    required_shards_ = required_shard_count();
    open_shards_ = shards_.size();
}

std::size_t request_attempts::required_shard_count() const
{
    if (!route_.gathers()) {
        return 1;
    }
    const double share = std::clamp(route_.min_share, 0.0, 1.0);
    const double required =
        std::ceil(share * static_cast<double>(shards_.size()) - rounding_tolerance);
    return std::max<std::size_t>(1, static_cast<std::size_t>(required));
}

bool request_attempts::may_send(const shard_state& shard) const
{
    std::size_t counted_attempts = 0;
    std::size_t sends = 0;
    for (const attempt_state& attempt : shard.attempts) {
        sends += attempt.open || attempt.kind != response_kind::withdrawn ? 1 : 0;
        const bool may_have_run = attempt.open || !certainly_not_run(attempt.kind);
        if (may_have_run && route_.repeat == deployment::repeat_rule::at_most_once) {
            return false;
        }
        const bool was_sent = attempt.open || !was_not_sent(attempt.kind);
        counted_attempts += was_sent ? 1 : 0;
    }
    return sends < max_sends_per_shard &&
           counted_attempts < std::max(1U, route_.max_attempts);
}

bool request_attempts::send(std::size_t shard_index, const char* reason,
                            base::instant now, std::vector<request_action>& actions)
{
    if (now >= send_deadline()) {
        return false;
    }
    shard_state& shard = shards_[shard_index];
    std::vector<base::target_id> tried_targets;
    tried_targets.reserve(shard.attempts.size());
    for (const attempt_state& attempt : shard.attempts) {
        tried_targets.push_back(attempt.target);
    }
    const deployment::listed_target* target =
        directory_.choose(shard.service, tried_targets, now);
    const bool is_hedge = std::string_view(reason) == "hedge";
    if (target == nullptr && !is_hedge) {
        // A target whose connection broke may accept the request on another connection.
        target = directory_.choose(shard.service, {}, now);
    }
    if (target == nullptr) {
        return false;
    }
    const bool was_sent_before = std::any_of(
        shard.attempts.begin(), shard.attempts.end(), [](const attempt_state& attempt) {
            return attempt.open || !was_not_sent(attempt.kind);
        });
    if (was_sent_before && !budget_.take(shard.service, now)) {
        return false;
    }
    const call_id call = add_attempt(shard_index, target->id, now);
    shard.hedge_at = now + timing_.hedge_delay;
    actions.emplace_back(send_action{call, shard_index, target->id, reason});
    return true;
}

call_id request_attempts::add_attempt(std::size_t shard_index,
                                      const base::target_id& target, base::instant now)
{
    shard_index_of_call_.push_back(shard_index);
    const auto call = static_cast<call_id>(shard_index_of_call_.size());
    shards_[shard_index].attempts.push_back({call, target, now});
    return call;
}

request_attempts::attempt_state& request_attempts::attempt_of(call_id call)
{
    auto& attempts = shards_[shard_index_of_call_.at(call - 1)].attempts;
    return *std::find_if(
        attempts.begin(), attempts.end(),
        [call](const attempt_state& attempt) { return attempt.call == call; });
}

void request_attempts::set_target(call_id call, const base::target_id& target)
{
    attempt_of(call).target = target;
}

std::vector<request_action> request_attempts::on_late(call_id call, base::instant now)
{
    std::vector<request_action> actions;
    const std::size_t shard_index = shard_index_of_call_.at(call - 1);
    if (!finished_ && attempt_of(call).open) {
        shards_[shard_index].hedge_at = now;
        hedge_if_due(shard_index, now, actions);
    }
    return actions;
}

void request_attempts::start_groups(base::instant now,
                                    std::vector<request_action>& actions)
{
    for (gather_group& group : groups_) {
        gather_action action;
        action.gatherer = std::move(group.gatherer);
        for (const std::size_t shard_index : group.shards) {
            budget_.on_request(shards_[shard_index].service, now);
            action.calls.push_back(add_attempt(shard_index, base::target_id(), now));
            shards_[shard_index].hedge_at = now + timing_.report_limit;
        }
        action.shards = std::move(group.shards);
        actions.emplace_back(std::move(action));
    }
    groups_.clear();
}

std::vector<request_action> request_attempts::start(base::instant now)
{
    std::vector<request_action> actions;
    if (now < send_deadline()) {
        start_groups(now, actions);
    }
    for (std::size_t i = 0; i < shards_.size(); ++i) {
        if (!shards_[i].attempts.empty()) {
            continue;
        }
        budget_.on_request(shards_[i].service, now);
        if (!send(i, "first", now, actions)) {
            mark_failed(shards_[i]);
        }
    }
    finish_if_decided(now, actions);
    return actions;
}

void request_attempts::on_sent(call_id call, base::instant now)
{
    shards_[shard_index_of_call_.at(call - 1)].hedge_at = now + timing_.hedge_delay;
    attempt_of(call).sent_at = now;
}

std::vector<request_action> request_attempts::on_answer(call_id call, response_kind kind,
                                                        base::instant now)
{
    std::vector<request_action> actions;
    if (finished_) {
        return actions;
    }
    const std::size_t shard_index = shard_index_of_call_.at(call - 1);
    shard_state& shard = shards_[shard_index];
    attempt_state& attempt = attempt_of(call);
    if (!attempt.open) {
        return actions;
    }
    attempt.open = false;
    attempt.kind = kind;
    if (shard.is_open()) {
        if (kind == response_kind::success) {
            shard.response_call = call;
            ++answered_shards_;
            --open_shards_;
            cancel_open_attempts(shard, actions);
        }
        else {
            retry_or_fail(shard_index, now, actions);
        }
    }
    finish_if_decided(now, actions);
    return actions;
}

void request_attempts::retry_or_fail(std::size_t shard_index, base::instant now,
                                     std::vector<request_action>& actions)
{
    shard_state& shard = shards_[shard_index];
    const bool has_open_attempt =
        std::any_of(shard.attempts.begin(), shard.attempts.end(),
                    [](const attempt_state& attempt) { return attempt.open; });
    if (has_open_attempt) {
        return;
    }
    if (!may_send(shard) || !send(shard_index, "retry", now, actions)) {
        mark_failed(shard);
    }
}

void request_attempts::mark_failed(shard_state& shard)
{
    shard.failed = true;
    --open_shards_;
}

// A silent gatherer says nothing about this VM, however many shards it has.
bool request_attempts::awaits_report(const shard_state& shard)
{
    return !shard.attempts.empty() && shard.attempts.back().open &&
           shard.attempts.back().target.empty();
}

bool request_attempts::may_hedge(const shard_state& shard) const
{
    const auto max_hedges = std::max<std::size_t>(
        1,
        static_cast<std::size_t>(static_cast<double>(shards_.size()) * max_hedged_ratio));
    return (hedge_count_ < max_hedges || awaits_report(shard)) &&
           route_.repeat == deployment::repeat_rule::repeatable && shard.is_open() &&
           !shard.attempts.empty() && shard.attempts.back().open && may_send(shard);
}

void request_attempts::hedge_if_due(std::size_t shard_index, base::instant now,
                                    std::vector<request_action>& actions)
{
    shard_state& shard = shards_[shard_index];
    if (now < shard.hedge_at || !may_hedge(shard)) {
        return;
    }
    const bool counts = !awaits_report(shard);
    if (send(shard_index, "hedge", now, actions)) {
        hedge_count_ += counts ? 1 : 0;
    }
    else {
        shard.hedge_at = now + hedge_retry_delay;
    }
}

std::vector<request_action> request_attempts::on_time(base::instant now)
{
    std::vector<request_action> actions;
    if (finished_) {
        return actions;
    }
    soft_deadline_passed_ = now >= timing_.soft_deadline;
    recall_if_due(now, actions);
    if (now < send_deadline()) {
        for (std::size_t i = 0; i < shards_.size(); ++i) {
            hedge_if_due(i, now, actions);
        }
    }
    finish_if_decided(now, actions);
    return actions;
}

base::instant request_attempts::send_deadline() const
{
    return timing_.hard_deadline - timing_.min_answer_time;
}

void request_attempts::recall_if_due(base::instant now,
                                     std::vector<request_action>& actions)
{
    if (recalled_ || now < send_deadline()) {
        return;
    }
    recalled_ = true;
    if (now >= timing_.hard_deadline) {
        // The request ends now, which cancels its calls.
        return;
    }
    for (const shard_state& shard : shards_) {
        for (const attempt_state& attempt : shard.attempts) {
            if (attempt.open && !attempt.target.empty()) {
                actions.emplace_back(recall_action{attempt.call});
            }
        }
    }
}

void request_attempts::finish_if_decided(base::instant now,
                                         std::vector<request_action>& actions)
{
    if (finished_) {
        return;
    }
    const bool deadline_passed = now >= timing_.hard_deadline;
    next_end_check_ = base::instant::max();
    if (answered_shards_ == shards_.size()) {
        finish(final_outcome::complete, actions);
    }
    else if (answered_shards_ >= required_shards_ &&
             (open_shards_ == 0 || deadline_passed || now >= timing_.soft_deadline)) {
        finish(final_outcome::partial, actions);
    }
    else if (answered_shards_ >= required_shards_ && ends_early(now)) {
        ended_early_ = true;
        finish(final_outcome::partial, actions);
    }
    else if (answered_shards_ + open_shards_ < required_shards_ || deadline_passed) {
        finish(failure_outcome(deadline_passed && open_shards_ > 0), actions);
    }
    else if (may_end_early() && answered_shards_ >= required_shards_) {
        next_end_check_ = now + end_check_interval;
    }
}

double request_attempts::chance_of(const shard_state& shard, base::instant now,
                                   base::instant until) const
{
    double misses = 1;
    for (const attempt_state& attempt : shard.attempts) {
        if (!attempt.open) {
            continue;
        }
        if (attempt.target.empty() && now < attempt.sent_at + timing_.report_limit) {
            // The parts of a gatherer come with its report.
            return 1;
        }
        misses *= 1 - history_.parts->chance(now - attempt.sent_at, until - now);
    }
    if (may_hedge(shard)) {
        misses *= 1 - history_.parts->chance(base::duration(),
                                             until - std::max(now, shard.hedge_at));
    }
    return 1 - misses;
}

bool request_attempts::may_end_early() const
{
    return history_.parts != nullptr && history_.margin != nullptr && route_.gathers();
}

bool request_attempts::ends_early(base::instant now) const
{
    if (!may_end_early()) {
        return false;
    }
    const base::instant due = timing_.arrived + route_.objective;
    const query_end decision(answered_shards_, history_.margin->lateness(due - now));
    const base::duration rest = timing_.soft_deadline - now;
    for (std::int64_t step = 1; step <= end_horizons; ++step) {
        const base::instant until = now + rest * step / end_horizons;
        double expected = 0;
        for (const shard_state& shard : shards_) {
            expected += shard.is_open() ? chance_of(shard, now, until) : 0;
        }
        if (decision.is_worth(expected, history_.margin->lateness(due - until))) {
            return false;
        }
    }
    return true;
}

bool request_attempts::may_have_run() const
{
    return std::any_of(shards_.begin(), shards_.end(), [](const shard_state& shard) {
        return std::any_of(shard.attempts.begin(), shard.attempts.end(),
                           [](const attempt_state& attempt) {
                               return attempt.open || !certainly_not_run(attempt.kind);
                           });
    });
}

void request_attempts::on_cancelled_unsent(call_id call)
{
    attempt_state& attempt = attempt_of(call);
    if (!attempt.open && attempt.kind == response_kind::cancelled) {
        attempt.kind = response_kind::withdrawn;
    }
}

final_outcome request_attempts::settled_outcome(final_outcome outcome) const
{
    const bool is_failure =
        outcome == final_outcome::failed || outcome == final_outcome::timed_out;
    return is_failure && !may_have_run() ? final_outcome::refused : outcome;
}

final_outcome request_attempts::failure_outcome(bool deadline_passed) const
{
    bool target_failed = false;
    for (const shard_state& shard : shards_) {
        const bool last_failed = !shard.attempts.empty() && !shard.attempts.back().open &&
                                 shard.attempts.back().kind == response_kind::failure;
        target_failed = target_failed || last_failed;
    }
    if (!may_have_run()) {
        return final_outcome::refused;
    }
    if (deadline_passed) {
        return final_outcome::timed_out;
    }
    return target_failed && !route_.gathers() ? final_outcome::target_failure
                                              : final_outcome::failed;
}

void request_attempts::finish(final_outcome outcome, std::vector<request_action>& actions)
{
    finish_action finished;
    finished.outcome = outcome;
    for (shard_state& shard : shards_) {
        cancel_open_attempts(shard, actions);
        if (shard.response_call) {
            finished.answers.push_back(*shard.response_call);
        }
        else {
            ++finished.missing;
        }
    }
    if (outcome == final_outcome::target_failure) {
        finished.answers = {shards_.front().attempts.back().call};
    }
    finished_ = true;
    actions.emplace_back(std::move(finished));
}

void request_attempts::cancel_open_attempts(shard_state& shard,
                                            std::vector<request_action>& actions)
{
    for (attempt_state& attempt : shard.attempts) {
        if (attempt.open) {
            attempt.open = false;
            attempt.kind = response_kind::cancelled;
            actions.emplace_back(cancel_action{attempt.call});
        }
    }
}

std::vector<request_action> request_attempts::abandon()
{
    std::vector<request_action> actions;
    finished_ = true;
    for (shard_state& shard : shards_) {
        cancel_open_attempts(shard, actions);
    }
    return actions;
}

base::instant request_attempts::next_deadline() const
{
    base::instant next = std::min(timing_.hard_deadline, next_end_check_);
    if (!recalled_) {
        next = std::min(next, send_deadline());
    }
    // After the soft deadline only a response can finish the request, not the clock.
    if (route_.gathers() && !soft_deadline_passed_) {
        next = std::min(next, timing_.soft_deadline);
    }
    for (const shard_state& shard : shards_) {
        if (may_hedge(shard) && shard.hedge_at < send_deadline()) {
            next = std::min(next, shard.hedge_at);
        }
    }
    return next;
}

} // namespace curranthoist::forwarding
