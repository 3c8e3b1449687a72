#include "curranthoist/frontd/caller_task.hpp"

#include "curranthoist/frontd/task_context.hpp"
#include "curranthoist/http/status.hpp"

#include <algorithm>
#include <utility>

namespace curranthoist::frontd {

namespace {

using namespace base::literals;

// From this process's answer to the caller's receipt, and the time that a busy process
// needs to get to the answer.
constexpr base::duration answer_margin = 20_ms;
// Added to the margin of a partial response for a caller that made a connection first:
// the way there and back.
constexpr base::duration handshake_margin = 6_ms;
// A gatherer reports after the 95th percentile, at 0.4 of the objective at the latest.
// One that has not reported at this part of the objective is lost or overloaded.
constexpr double report_part_of_objective = 0.5;
constexpr base::duration min_report_limit = 25_ms;

std::vector<base::service_id> services_of(const deployment::route& route,
                                          base::random_source& random)
{
    if (route.gathers()) {
        return route.shards;
    }
    double sum = 0;
    for (const deployment::weighted_service& one : route.services) {
        sum += one.weight;
    }
    double drawn = random.unit() * sum;
    for (const deployment::weighted_service& one : route.services) {
        if (drawn < one.weight) {
            return {one.service};
        }
        drawn -= one.weight;
    }
    return {route.services.back().service};
}

base::duration patience_of(const platform::inbound_request& request,
                           const deployment::route& route)
{
    const base::duration patience = request.patience.value_or(route.time_limit);
    return std::min(route.time_limit, patience - answer_margin);
}

} // namespace

caller_task::caller_task(task_context& context,
                         std::shared_ptr<const deployment::route_table> table,
                         const deployment::route& route,
                         platform::inbound_request request, http::responder answer,
                         std::shared_ptr<forwarding::open_request_limit::place> place)
    : request_{.context = context,
               .table = std::move(table),
               .route = route,
               .inbound = std::move(request),
               .latency = context.latencies[route.name],
               .clock = {},
               .arrived = {},
               .hard_limit = {}}
    , answer_(std::move(answer))
    , place_(std::move(place))
    , targets_(request_)
    , groups_(request_)
    , record_(request_)
    , timer_(context.loop)
{
    request_.arrived = request_.clock.now();
    request_.hard_limit = request_.arrived + patience_of(request_.inbound, route);
    timer_.set<caller_task, &caller_task::on_timer>(this);
}

base::duration caller_task::report_limit() const
{
    return std::max(min_report_limit,
                    base::duration(static_cast<std::int64_t>(
                        static_cast<double>(request_.route.objective.count()) *
                        report_part_of_objective)));
}

forwarding::request_timing caller_task::times() const
{
    const base::duration objective = request_.route.objective;
    const route_latency& latency = request_.latency;
    forwarding::request_timing result;
    result.arrived = request_.arrived;
    result.soft_deadline =
        request_.arrived + objective - request_.context.margin.margin(objective) -
        (request_.inbound.connection_was_new ? handshake_margin : base::duration());
    result.hard_deadline = request_.hard_limit;
    result.hedge_delay = latency.hedge_delay(objective);
    result.min_answer_time = latency.min_answer_time(objective);
    result.report_limit = report_limit();
    return result;
}

void caller_task::start(end_handler on_end)
{
    on_end_ = std::move(on_end);
    answer_.on_close([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->on_caller_gone();
        }
    });
    task_context& context = request_.context;
    request_.run.emplace(
        request_.route, services_of(request_.route, context.random), times(),
        context.directory, context.budget, groups_.plan(),
        forwarding::query_history{&request_.latency.parts(), &context.margin});
    perform(request_.run->start(request_.clock.now()));
}

void caller_task::expire()
{
    perform(request_.run->on_time(std::max(request_.hard_limit, request_.clock.now())));
}

void caller_task::perform(std::vector<forwarding::request_action> actions)
{
    record_.on_actions(actions);
    groups_.divide_second_sends(actions);
    // By index, because actions that follow are added at the end.
    for (std::size_t i = 0; i < actions.size(); ++i) {
        const forwarding::request_action& action = actions[i];
        if (const auto* wanted = std::get_if<forwarding::send_action>(&action)) {
            send(*wanted);
        }
        else if (const auto* group = std::get_if<forwarding::gather_action>(&action)) {
            const auto following = start_group(*group);
            record_.on_actions(following);
            actions.insert(actions.end(), following.begin(), following.end());
        }
        else if (const auto* ended = std::get_if<forwarding::cancel_action>(&action)) {
            targets_.cancel(*ended, caller_gone_);
        }
        else if (const auto* late = std::get_if<forwarding::recall_action>(&action)) {
            targets_.recall(*late);
        }
        else {
            finish(std::get<forwarding::finish_action>(action));
        }
    }
    if (!actions.empty() || !timer_.is_active() ||
        request_.run->next_end_check() < scheduled_) {
        schedule();
    }
}

void caller_task::send(const forwarding::send_action& action)
{
    targets_.start(action, [weak = weak_from_this()](forwarding::call_id call,
                                                     http::target_result result) {
        if (const auto self = weak.lock()) {
            if (self->request_.sends.at(call).open) {
                self->perform(self->targets_.on_result(call, std::move(result)));
            }
        }
    });
}

std::vector<forwarding::request_action>
caller_task::start_group(const forwarding::gather_action& action)
{
    return groups_.start(
        action,
        [weak = weak_from_this()](std::size_t index, const wire::gather_report* report) {
            const auto self = weak.lock();
            if (self && !self->ended_) {
                self->perform(self->groups_.on_report(index, report));
            }
        });
}

void caller_task::on_caller_gone()
{
    caller_gone_ = true;
    perform(request_.run->abandon());
    end("caller_gone", 0, 0);
}

void caller_task::on_timer(ev::timer& /*watcher*/, int /*events*/)
{
    timer_delay_ = std::max(request_.clock.now() - scheduled_, base::duration());
    groups_.note_overdue(report_limit());
    perform(request_.run->on_time(request_.clock.now()));
}

void caller_task::schedule()
{
    timer_.stop();
    if (ended_ || request_.run->finished()) {
        return;
    }
    scheduled_ = request_.run->next_deadline();
    const base::duration wait = scheduled_ - request_.clock.now();
    ev_now_update(request_.context.loop);
    timer_.start(std::max(wait, 1_ms).seconds());
}

base::duration caller_task::retry_after()
{
    task_context& context = request_.context;
    const base::service_id& service = request_.run->service_of(0);
    const base::instant now = request_.clock.now();
    forwarding::return_schedule::rejection caller;
    caller.priority = {request_.inbound.priority.value_or(0), request_.route.priority};
    caller.time_left = request_.hard_limit - now;
    caller.above_share = context.shares.is_above_share(request_.inbound.team, now);
    // A query goes to many services; the pause of one of them says little about it.
    if (!request_.route.gathers()) {
        caller.known_pause =
            context.directory.shortest_pause(service, now).value_or(base::duration());
    }
    return context.returns.reserve(service, caller, now);
}

http::caller_response caller_task::response_of(const forwarding::finish_action& action,
                                               forwarding::final_outcome outcome)
{
    using forwarding::final_outcome;
    namespace status = http::status;
    request_sends& sends = request_.sends;
    switch (outcome) {
    case final_outcome::complete:
    case final_outcome::partial:
        request_.context.returns.on_served(request_.run->service_of(0),
                                           request_.clock.now());
        return request_.route.gathers()
                   ? sends.gathered_response(action.answers, request_.run->shard_count(),
                                             request_.route.top_records)
                   : platform::forward_response(
                         std::move(*sends.at(action.answers.front()).response));
    case final_outcome::target_failure: {
        platform::target_response& from = *sends.at(action.answers.front()).response;
        return platform::may_forward_failure(from.content.status)
                   ? platform::forward_response(std::move(from))
                   : platform::own_response(status::bad_gateway, "the target failed",
                                            std::nullopt);
    }
    case final_outcome::refused:
        told_pause_ = retry_after();
        return platform::own_response(status::service_unavailable,
                                      "not run: no target can take it now", told_pause_);
    case final_outcome::failed:
        return platform::own_response(status::bad_gateway,
                                      "no whole response of a target came", std::nullopt);
    case final_outcome::timed_out:
        return platform::own_response(status::gateway_timeout, "the time limit passed",
                                      std::nullopt);
    }
    return {};
}

void caller_task::finish(const forwarding::finish_action& action)
{
    const base::instant began = request_.clock.now();
    // The calls that had not been sent are known only after their cancellation.
    const forwarding::final_outcome outcome =
        request_.run->settled_outcome(action.outcome);
    http::caller_response response = response_of(action, outcome);
    const unsigned code = response.status;
    answer_.respond(std::move(response));
    if (request_.route.gathers()) {
        request_.context.margin.add(request_.clock.now() - began + timer_delay_);
    }
    end(forwarding::outcome_name(outcome), code, action.missing);
}

void caller_task::end(const char* outcome, unsigned status, std::size_t missing)
{
    if (ended_) {
        return;
    }
    ended_ = true;
    timer_.stop();
    groups_.end();
    place_.reset();
    record_.on_end({outcome, status, missing, told_pause_});
    on_end_();
}

} // namespace curranthoist::frontd
