#include "curranthoist/entry/request_dispatcher.hpp"

#include "curranthoist/entry/answers.hpp"
#include "curranthoist/entry/filters/filter_chain.hpp"
#include "curranthoist/http/status.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace curranthoist::entry {

namespace {

// More requests than a run of the process can start in a millisecond, so that the numbers
// of two runs, which begin with their incarnations, don't meet.
constexpr std::uint64_t numbers_per_millisecond = 1000;
// An order uses a number for each of its sends.
constexpr std::uint64_t sends_per_order = execution::order_attempt<>::max_sends;

http::caller_response text_response(unsigned status, std::string body)
{
    http::caller_response response;
    response.status = status;
    response.headers = {{"Content-Type", "text/plain; charset=utf-8"}};
    response.body = std::move(body);
    return response;
}

std::size_t most_shards(const routing::service_map& map)
{
    std::size_t most = 0;
    for (const auto& [version, view] : map.snapshots) {
        most = std::max(most, view.shards.size());
    }
    return most;
}

} // namespace

request_dispatcher::request_dispatcher(ev::loop_ref loop, parts used,
                                       base::incarnation run)
    : loop_(loop)
    , used_(used)
    , last_number_(run.value() * numbers_per_millisecond)
{}

bool request_dispatcher::in_service() const
{
    const control::configuration& configuration = used_.control.configuration();
    const auto vm = configuration.vms.find(used_.settings.vm);
    const auto zone = configuration.zones.find(used_.settings.zone);
    return vm != configuration.vms.end() && vm->second.in_service &&
           zone != configuration.zones.end() && zone->second.in_service;
}

std::string request_dispatcher::not_ready_reason() const
{
    if (used_.stop.stopping()) {
        return "VM is stopping";
    }
    if (!used_.control.lease_valid()) {
        return "VM holds no lease";
    }
    return in_service() ? "" : "VM or its availability zone is out of service";
}

process_state request_dispatcher::present_state()
{
    process_state state;
    state.now = clock_.now();
    state.refusing = used_.stop.refusing();
    state.lease_valid = used_.control.lease_valid();
    state.in_service = in_service();
    state.running = running();
    state.new_request_id = std::to_string(wall_clock_.now().count()) + "-" +
                           used_.settings.vm.str() + "-" +
                           std::to_string(last_number_ + 1);
    state.limits = used_.settings.limits;
    state.configuration = &used_.control.configuration();
    return state;
}

bool request_dispatcher::answer_own_path(const http::caller_request& request,
                                         const http::responder& caller)
{
    if (request.method != "GET") {
        return false;
    }
    if (request.path == "/ready") {
        const std::string reason = not_ready_reason();
        caller.respond(reason.empty() ? text_response(http::status::ok, "ready\n")
                                      : text_response(http::status::service_unavailable,
                                                      reason + "\n"));
        return true;
    }
    if (request.path == "/metrics") {
        caller.respond(text_response(http::status::ok, used_.metrics.prometheus_text()));
        return true;
    }
    return false;
}

void request_dispatcher::on_request(const http::caller_request& request,
                                    const http::responder& caller)
{
    if (answer_own_path(request, caller)) {
        return;
    }
    const process_state state = present_state();
    admitted_request admitted;
    if (const filter_result refused = run_filters(request, state, admitted)) {
        const base::request_id id(request.header("Request-Id").value_or(""));
        refuse(admitted.id.empty() ? id : admitted.id, *refused, caller);
        return;
    }
    if (admitted.kind == control::service_kind::order) {
        start_order(admitted, request.body, caller);
    }
    else {
        start_query(admitted, request.body, caller);
    }
}

void request_dispatcher::refuse(const base::request_id& id, const refusal& why,
                                const http::responder& caller)
{
    used_.metrics
        .counter_named("curranthoist_refusals_total",
                       "Requests that no task was made for",
                       "status=\"" + std::to_string(why.status) + "\"")
        .add();
    log_.info("request " + id.str() + ": refused with " + std::to_string(why.status) +
              ": " + why.error);
    caller.respond(refusal_answer(id, why));
}

void request_dispatcher::start_query(const admitted_request& admitted,
                                     const std::string& body,
                                     const http::responder& caller)
{
    service_state& shared = used_.services.state_of(admitted.service);
    const auto map = used_.services.map_of(admitted.service);
    if (map && most_shards(*map) > used_.settings.limits.max_shards_per_query) {
        refuse(admitted.id,
               {http::status::too_many_requests,
                "snapshot has more shards than a query may use",
                request_outcome::not_run},
               caller);
        return;
    }
    if (!shared.limiter.try_start(clock_.now())) {
        refuse(admitted.id,
               {http::status::too_many_requests,
                "targets of the service are at their limits", request_outcome::not_run},
               caller);
        return;
    }
    const std::uint64_t number = ++last_number_;
    auto task = std::make_unique<query_task>(
        loop_, number, admitted, body, caller, shared, map, used_.relay, used_.metrics,
        [this, number] {
            used_.deferred.post([this, number] { queries_.erase(number); });
        });
    query_task& started = *task;
    queries_[number] = std::move(task);
    started.start();
}

void request_dispatcher::start_order(const admitted_request& admitted,
                                     const std::string& body,
                                     const http::responder& caller)
{
    const std::uint64_t number = ++last_number_;
    execution::order_options options;
    options.attempt = number;
    options.first_send = number * sends_per_order;
    options.deadline = admitted.deadline;
    auto task = std::make_unique<order_task>(
        loop_, options, admitted, body, caller, used_.services.state_of(admitted.service),
        used_.services.map_of(admitted.service), used_.relay, used_.control,
        used_.metrics, [this, number] {
            used_.deferred.post([this, number] { orders_.erase(number); });
        });
    order_task& started = *task;
    orders_[number] = std::move(task);
    started.start();
}

void request_dispatcher::on_part_reply(const base::vm_id& owner,
                                       const wire::part_reply_message& message)
{
    const auto found = queries_.find(message.query_id);
    if (found != queries_.end()) {
        found->second->on_part_reply(owner, message);
    }
}

void request_dispatcher::on_order_reply(const wire::order_reply_message& message)
{
    const auto found = orders_.find(message.query_id / sends_per_order);
    if (found != orders_.end()) {
        found->second->on_order_reply(message);
    }
}

void request_dispatcher::on_owner_lost(const base::vm_id& owner)
{
    // Tasks end by a deferred call, so neither map changes meanwhile.
    for (const auto& [number, task] : queries_) {
        task->on_owner_lost(owner);
    }
    for (const auto& [number, task] : orders_) {
        task->on_owner_lost(owner);
    }
}

} // namespace curranthoist::entry
