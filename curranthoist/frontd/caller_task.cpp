#include "curranthoist/frontd/caller_task.hpp"

#include "curranthoist/forwarding/gather_plan.hpp"
#include "curranthoist/frontd/gather_links.hpp"
#include "curranthoist/frontd/task_context.hpp"
#include "curranthoist/http/status.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <string_view>
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
// Each gatherer gets a copy of the request; the targets share one of a longer body.
constexpr std::size_t max_gathered_body_bytes = std::size_t{16} * 1024;
// A repeatable request is worth a log line for each send that is not the first.
constexpr const char* first_send = "first";

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

} // namespace

caller_task::caller_task(task_context& context,
                         std::shared_ptr<const deployment::route_table> table,
                         const deployment::route& route,
                         platform::inbound_request request, http::responder answer,
                         std::shared_ptr<forwarding::open_request_limit::place> place)
    : context_(context)
    , table_(std::move(table))
    , route_(route)
    , request_(std::move(request))
    , answer_(std::move(answer))
    , place_(std::move(place))
    , arrived_(clock_.now())
    , latency_(context.latencies[route.name])
    , timer_(context.loop)
{
    const base::duration patience = request_.patience.value_or(route_.time_limit);
    hard_limit_ = arrived_ + std::min(route_.time_limit, patience - answer_margin);
    timer_.set<caller_task, &caller_task::on_timer>(this);
}

forwarding::request_timing caller_task::times(base::instant now) const
{
    forwarding::request_timing result;
    result.arrived = now;
    result.soft_deadline =
        now + route_.objective - latency_.margin().margin(route_.objective) -
        (request_.connection_was_new ? handshake_margin : base::duration());
    result.hard_deadline = hard_limit_;
    result.hedge_delay = latency_.hedge_delay(route_.objective);
    result.least_answer_time = latency_.least_answer_time(route_.objective);
    result.report_limit = std::max(
        min_report_limit,
        base::duration(static_cast<std::int64_t>(
            static_cast<double>(route_.objective.count()) * report_part_of_objective)));
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
    std::vector<forwarding::gather_group> groups;
    if (route_.gathers() && context_.gather != nullptr &&
        request_.body->size() <= max_gathered_body_bytes) {
        const auto away = route_.shards.size() < forwarding::min_shards_to_gather
                              ? std::nullopt
                              : context_.zones.next(clock_.now());
        groups = forwarding::plan_gather(route_.shards, context_.gather->available(),
                                         context_.directory, context_.own_name,
                                         clock_.now(), away ? &*away : nullptr);
    }
    run_.emplace(route_, services_of(route_, context_.random), times(arrived_),
                 context_.directory, context_.budget, std::move(groups),
                 &latency_.parts());
    perform(run_->start(clock_.now()));
}

void caller_task::expire()
{
    perform(run_->on_time(std::max(hard_limit_, clock_.now())));
}

void caller_task::gather_second_sends(
    std::vector<forwarding::request_action>& actions) const
{
    if (!route_.gathers() || context_.gather == nullptr ||
        request_.body->size() > max_gathered_body_bytes) {
        return;
    }
    std::vector<forwarding::send_action> sends;
    for (const forwarding::request_action& action : actions) {
        const auto* sent = std::get_if<forwarding::send_action>(&action);
        if (sent != nullptr && sent->reason != std::string_view(first_send)) {
            sends.push_back(*sent);
        }
    }
    if (sends.size() < 2) {
        return;
    }
    std::set<forwarding::call_id> gathered;
    std::vector<forwarding::request_action> groups;
    for (const forwarding::second_send_group& group :
         forwarding::plan_second_sends(sends, context_.gather->available(),
                                       context_.directory, context_.own_name)) {
        forwarding::gather_action action;
        action.gatherer = group.gatherer;
        action.separate = true;
        for (const std::size_t index : group.sends) {
            action.calls.push_back(sends[index].call);
            action.shards.push_back(sends[index].shard);
            gathered.insert(sends[index].call);
        }
        groups.emplace_back(std::move(action));
    }
    std::erase_if(actions, [&gathered](const forwarding::request_action& action) {
        const auto* sent = std::get_if<forwarding::send_action>(&action);
        return sent != nullptr && gathered.contains(sent->call);
    });
    // A send comes before the answer to the caller, which ends it again.
    actions.insert(actions.begin(), std::make_move_iterator(groups.begin()),
                   std::make_move_iterator(groups.end()));
}

void caller_task::perform(std::vector<forwarding::request_action> actions)
{
    log_extra_sends(actions);
    gather_second_sends(actions);
    // By index, because actions that follow are added at the end.
    for (std::size_t i = 0; i < actions.size(); ++i) {
        const forwarding::request_action& action = actions[i];
        if (const auto* wanted = std::get_if<forwarding::send_action>(&action)) {
            send(*wanted);
        }
        else if (const auto* group = std::get_if<forwarding::gather_action>(&action)) {
            const auto following = start_group(*group);
            log_extra_sends(following);
            actions.insert(actions.end(), following.begin(), following.end());
        }
        else if (const auto* ended = std::get_if<forwarding::cancel_action>(&action)) {
            cancel(*ended);
        }
        else if (const auto* late = std::get_if<forwarding::recall_action>(&action)) {
            recall(*late);
        }
        else {
            finish(std::get<forwarding::finish_action>(action));
        }
    }
    if (!actions.empty() || !timer_.is_active() || run_->next_end_check() < scheduled_) {
        schedule();
    }
}

void caller_task::send(const forwarding::send_action& action)
{
    const base::instant now = clock_.now();
    const deployment::listed_target* target = context_.directory.find(action.target);
    const bool may_run_once = route_.repeat == deployment::repeat_rule::at_most_once;
    // On the connection of the first send, a late copy of its rejection could not be told
    // from the answer to this one: both name the same attempt. The answer to a request
    // without a name can't be told from a copy of any other.
    const bool needs_own_connection =
        may_run_once && (request_.attempt.empty() || sends_.has_sent_to(action.target));
    target_send& sent = sends_.add(action.call);
    sent.shard = action.shard;
    sent.target = action.target;
    sent.sent = now;
    context_.directory.on_sent(action.target, latency_.usual(), now);
    run_->on_sent(action.call, now);
    const base::duration left = std::max(hard_limit_ - now, 1_ms);
    http::target_client& client = context_.client_of(*target, table_->source());
    http::target_call call = platform::encode_target_call(request_, action.target, left);
    call.checks_connection = may_run_once;
    call.fresh_connection = needs_own_connection;
    sent.number =
        client.start(std::move(call), [weak = weak_from_this(),
                                       call = action.call](http::target_result result) {
            if (const auto self = weak.lock()) {
                self->on_result(call, std::move(result));
            }
        });
}

std::vector<forwarding::request_action>
caller_task::start_group(const forwarding::gather_action& action)
{
    const base::instant now = clock_.now();
    const std::size_t index = sends_.add_group({action.gatherer, 0, action.calls, now});
    sends_.group(index).separate = action.separate;
    wire::gather_request_message request;
    request.time_left_ms =
        static_cast<std::uint64_t>(std::max(hard_limit_ - now, 1_ms).count());
    request.objective_ms = static_cast<std::uint64_t>(route_.objective.count());
    request.route = route_.name;
    request.attempt = request_.attempt.str();
    request.method = request_.method;
    request.target = request_.target;
    request.header_lines = *request_.header_lines;
    request.body.assign(request_.body->begin(), request_.body->end());
    request.separate = action.separate;
    request.top_records = static_cast<std::uint32_t>(route_.top_records);
    for (std::size_t i = 0; i < action.calls.size(); ++i) {
        request.services.push_back(run_->service_of(action.shards[i]).str());
        target_send& sent = sends_.add(action.calls[i]);
        sent.shard = action.shards[i];
        sent.sent = now;
        sent.group = index;
    }
    sends_.group(index).request = context_.gather->start(
        action.gatherer, std::move(request),
        [weak = weak_from_this(), index](const wire::gather_report* report) {
            if (const auto self = weak.lock()) {
                self->on_report(index, report);
            }
        });
    std::vector<forwarding::request_action> following;
    if (sends_.group(index).request == 0) {
        for (const forwarding::call_id call : action.calls) {
            sends_.at(call).open = false;
            auto more =
                run_->on_answer(call, forwarding::response_kind::unreachable, now);
            std::move(more.begin(), more.end(), std::back_inserter(following));
        }
    }
    return following;
}

void caller_task::take_parts(const group_send& group, const wire::gather_report& report,
                             std::vector<forwarding::request_action>& actions)
{
    if (report.parts() == nullptr || report.parts()->size() == 0) {
        return;
    }
    gathered_parts taken;
    for (const wire::gathered_part* part : *report.parts()) {
        if (part->shard() >= group.calls.size() || part->signature() == nullptr) {
            continue;
        }
        target_send& sent = sends_.at(group.calls[part->shard()]);
        taken.shards.push_back(sent.shard);
        taken.signatures.push_back(part->signature()->str());
        if (sent.open) {
            sent.open = false;
            sent.report = sends_.next_report();
            auto more = run_->on_answer(group.calls[part->shard()],
                                        forwarding::response_kind::success, clock_.now());
            std::move(more.begin(), more.end(), std::back_inserter(actions));
        }
    }
    if (report.records() != nullptr) {
        taken.records.assign(report.records()->begin(), report.records()->end());
    }
    sends_.add_report(std::move(taken));
}

void caller_task::take_ungathered(const group_send& group,
                                  const wire::gather_report& report,
                                  std::vector<forwarding::request_action>& actions)
{
    if (report.ungathered() == nullptr) {
        return;
    }
    const base::instant now = clock_.now();
    for (const wire::ungathered_part* part : *report.ungathered()) {
        if (part->shard() >= group.calls.size()) {
            continue;
        }
        const forwarding::call_id call = group.calls[part->shard()];
        target_send& sent = sends_.at(call);
        if (!sent.open) {
            continue;
        }
        if (part->target() != nullptr) {
            sent.target = base::target_id(part->target()->str());
            run_->set_target(call, sent.target);
        }
        std::vector<forwarding::request_action> more;
        if (part->reason() == wire::ungathered_reason::pending) {
            more = run_->on_late(call, now);
        }
        else {
            sent.open = false;
            more = run_->on_answer(call,
                                   part->reason() == wire::ungathered_reason::not_run
                                       ? forwarding::response_kind::not_run
                                       : forwarding::response_kind::unknown,
                                   now);
        }
        std::move(more.begin(), more.end(), std::back_inserter(actions));
    }
}

void caller_task::on_report(std::size_t group_index, const wire::gather_report* report)
{
    if (ended_) {
        return;
    }
    group_send& group = sends_.group(group_index);
    std::vector<forwarding::request_action> actions;
    if (report != nullptr) {
        group.reported = true;
        take_parts(group, *report, actions);
        take_ungathered(group, *report, actions);
    }
    else {
        context_.log.info("event=gather_lost id=" + request_.attempt.str() +
                          " gatherer=" + group.gatherer.str() +
                          " reported=" + (group.reported ? "true" : "false"));
        group.request = 0;
        for (const forwarding::call_id call : group.calls) {
            target_send& sent = sends_.at(call);
            if (sent.open) {
                sent.open = false;
                auto more = run_->on_answer(call, forwarding::response_kind::unknown,
                                            clock_.now());
                std::move(more.begin(), more.end(), std::back_inserter(actions));
            }
        }
    }
    perform(std::move(actions));
}

void caller_task::note_overdue_groups()
{
    const base::instant now = clock_.now();
    const base::duration limit = times(arrived_).report_limit;
    for (group_send& group : sends_.groups()) {
        if (group.request != 0 && !group.reported && !group.overdue && !group.separate &&
            now - group.sent >= limit) {
            group.overdue = true;
            context_.gather->on_overdue(group.gatherer);
        }
    }
}

void caller_task::end_groups()
{
    for (group_send& group : sends_.groups()) {
        if (group.request == 0) {
            continue;
        }
        if (sends_.is_complete(group)) {
            context_.gather->forget(group.request);
        }
        else {
            context_.gather->cancel(group.request);
        }
        group.request = 0;
    }
}

void caller_task::log_extra_sends(const std::vector<forwarding::request_action>& actions)
{
    std::string shards;
    std::string targets;
    std::string_view reason;
    for (const forwarding::request_action& action : actions) {
        const auto* sent = std::get_if<forwarding::send_action>(&action);
        if (sent == nullptr || sent->reason == std::string_view(first_send)) {
            continue;
        }
        reason = sent->reason;
        (reason == "hedge" ? hedges_ : retries_) += 1;
        shards += (shards.empty() ? "" : ",") + std::to_string(sent->shard);
        targets += (targets.empty() ? "" : ",") + sent->target.str();
    }
    if (!reason.empty()) {
        context_.log.info("event=sent id=" + request_.attempt.str() +
                          " reason=" + std::string(reason) + " shards=" + shards +
                          " targets=" + targets +
                          " age_ms=" + std::to_string((clock_.now() - arrived_).count()));
    }
}

void caller_task::cancel(const forwarding::cancel_action& action)
{
    target_send* const found = sends_.find(action.call);
    // A gatherer ends its calls when this request ends.
    if (found == nullptr || !found->open || found->group) {
        return;
    }
    target_send& sent = *found;
    sent.open = false;
    const base::instant now = clock_.now();
    context_.directory.on_answer(sent.target, forwarding::response_kind::cancelled,
                                 now - sent.sent, latency_.usual(), now);
    if (http::target_client* client = context_.pool.find(sent.target)) {
        if (sent.recalled || client->withdraw(sent.number)) {
            run_->on_cancelled_unsent(action.call);
            return;
        }
        latency_.add_unfinished(now - sent.sent);
        // Where requests are frequent, the target's slot is worth more than the
        // connection.
        const bool keep_connection = !caller_gone_ && context_.directory.is_rarely_used(
                                                          run_->service_of(sent.shard));
        if (keep_connection) {
            client->abandon(sent.number);
        }
        else {
            client->cancel(sent.number);
        }
    }
}

void caller_task::recall(const forwarding::recall_action& action)
{
    target_send* const found = sends_.find(action.call);
    if (found == nullptr || !found->open || found->group) {
        return;
    }
    if (http::target_client* client = context_.pool.find(found->target)) {
        found->recalled = client->withdraw(found->number);
    }
}

void caller_task::on_result(forwarding::call_id call, http::target_result result)
{
    target_send& sent = sends_.at(call);
    if (!sent.open) {
        return;
    }
    sent.open = false;
    const base::instant now = clock_.now();
    const base::duration took = now - sent.sent;
    const http::call_outcome outcome = result.outcome;
    const unsigned status = result.status;
    sent.response = platform::decode_target_result(std::move(result));
    const forwarding::response_kind kind = sent.response->kind;
    context_.record_answer(sent.target, *sent.response, took, latency_.usual(), now);
    if (kind == forwarding::response_kind::success) {
        latency_.add(took);
    }
    else {
        context_.log.info("event=answer_rejected id=" + request_.attempt.str() +
                          " target=" + sent.target.str() +
                          " kind=" + forwarding::response_kind_name(kind) +
                          " outcome=\"" + std::string(http::outcome_text(outcome)) +
                          "\" status=" + std::to_string(status) +
                          " took_ms=" + std::to_string(took.count()) + " pause_ms=" +
                          std::to_string(sent.response->notice.pause.count()));
    }
    perform(run_->on_answer(call, kind, now));
}

void caller_task::on_caller_gone()
{
    caller_gone_ = true;
    perform(run_->abandon());
    end("caller_gone", 0, 0);
}

void caller_task::on_timer(ev::timer& /*watcher*/, int /*events*/)
{
    timer_delay_ = std::max(clock_.now() - scheduled_, base::duration());
    note_overdue_groups();
    perform(run_->on_time(clock_.now()));
}

void caller_task::schedule()
{
    timer_.stop();
    if (ended_ || run_->finished()) {
        return;
    }
    scheduled_ = run_->next_deadline();
    const base::duration wait = scheduled_ - clock_.now();
    ev_now_update(context_.loop);
    timer_.start(std::max(wait, 1_ms).seconds());
}

base::duration caller_task::retry_after()
{
    const base::instant now = clock_.now();
    forwarding::return_schedule::rejection caller;
    caller.priority = request_.priority.value_or(route_.priority);
    caller.time_left = hard_limit_ - now;
    // A query goes to many services; the pause of one of them says little about it.
    if (!route_.gathers()) {
        caller.known_pause = context_.directory.shortest_pause(run_->service_of(0), now)
                                 .value_or(base::duration());
    }
    return context_.returns.reserve(run_->service_of(0), caller, now);
}

void caller_task::finish(const forwarding::finish_action& action)
{
    using forwarding::final_outcome;
    namespace status = http::status;
    const base::instant began = clock_.now();
    // The calls that had not been sent are known only after their cancellation.
    const final_outcome outcome = run_->settled_outcome(action.outcome);
    http::caller_response response;
    switch (outcome) {
    case final_outcome::complete:
    case final_outcome::partial:
        context_.returns.on_served(run_->service_of(0), clock_.now());
        response = route_.gathers()
                       ? sends_.gathered_response(action.answers, run_->shard_count(),
                                                  route_.top_records)
                       : platform::forward_response(
                             std::move(*sends_.at(action.answers.front()).response));
        break;
    case final_outcome::target_failure: {
        platform::target_response& from = *sends_.at(action.answers.front()).response;
        response = platform::may_forward_failure(from.content.status)
                       ? platform::forward_response(std::move(from))
                       : platform::own_response(status::bad_gateway, "the target failed",
                                                std::nullopt);
        break;
    }
    case final_outcome::refused:
        told_pause_ = retry_after();
        response =
            platform::own_response(status::service_unavailable,
                                   "not run: no target can take it now", told_pause_);
        break;
    case final_outcome::failed:
        response = platform::own_response(
            status::bad_gateway, "no whole response of a target came", std::nullopt);
        break;
    case final_outcome::timed_out:
        response = platform::own_response(status::gateway_timeout,
                                          "the time limit passed", std::nullopt);
        break;
    }
    const unsigned code = response.status;
    answer_.respond(std::move(response));
    if (route_.gathers()) {
        latency_.margin().add(clock_.now() - began + timer_delay_);
    }
    end(forwarding::outcome_name(outcome), code, action.missing);
}

std::string caller_task::shortages() const
{
    // Bounds the line when an index is gone.
    constexpr std::size_t most_named = 3;
    std::string text;
    std::size_t named = 0;
    for (const std::size_t shard : sends_.unsent_shards(run_->shard_count())) {
        if (named++ < most_named) {
            const base::service_id& service = run_->service_of(shard);
            text += (text.empty() ? "" : "; ") + service.str() + ": " +
                    context_.directory.explain(service, clock_.now()).text();
        }
    }
    return text;
}

void caller_task::end(const char* outcome, unsigned status, std::size_t missing)
{
    if (ended_) {
        return;
    }
    ended_ = true;
    timer_.stop();
    end_groups();
    place_.reset();
    const base::duration took = clock_.now() - arrived_;
    context_.metrics
        .counter_named("curranthoist_requests_total", "Callers' requests by outcome",
                       std::string("outcome=\"") + outcome + "\"")
        .add();
    context_.metrics
        .histogram_named("curranthoist_request_ms",
                         "From a request's arrival to its answer, by route",
                         "route=\"" + route_.name + "\"")
        .add(took);
    std::string line =
        "event=request_ended id=" + request_.attempt.str() + " route=" + route_.name +
        " version=" + std::to_string(table_->source().version) + " outcome=" + outcome +
        " status=" + std::to_string(status) + " took_ms=" + std::to_string(took.count()) +
        " sends=" + std::to_string(sends_.count()) +
        " hedges=" + std::to_string(hedges_) + " retries=" + std::to_string(retries_) +
        " missing=" + std::to_string(missing);
    if (!sends_.groups().empty()) {
        line += " gatherers=" + std::to_string(sends_.groups().size());
    }
    if (route_.gathers() && missing > 0) {
        line += " without=" + sends_.targets_without_answer(*run_);
    }
    if (!route_.gathers() && sends_.count() > 0) {
        line += " target=" + sends_.last_target().str();
    }
    if (told_pause_) {
        line += " retry_after_ms=" + std::to_string(told_pause_->count());
    }
    if (const std::string reasons = shortages(); !reasons.empty()) {
        line += " shortage=\"" + reasons + "\"";
    }
    context_.log.info(line);
    on_end_();
}

} // namespace curranthoist::frontd
