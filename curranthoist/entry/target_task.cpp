#include "curranthoist/entry/target_task.hpp"

#include "curranthoist/entry/answer_check.hpp"
#include "curranthoist/entry/status_report.hpp"
#include "curranthoist/http/status.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

namespace curranthoist::entry {

namespace {

constexpr std::size_t max_status_bytes = 65536;
// Three successive owners may have a connection for polls each.
constexpr std::uint32_t poll_connections_of_three_owners = 3;

std::uint32_t request_connections(const control::target_spec& spec)
{
    return std::max(spec.connections, 2 * poll_connections_of_three_owners) -
           poll_connections_of_three_owners;
}

admission::target_admission_options options_of(const control::target_spec& spec,
                                               const control::assignment& given)
{
    admission::target_admission_options options;
    options.slots = spec.slots;
    options.connections = request_connections(spec);
    options.fence = given.number;
    options.warm = given.warm;
    options.pace_milli_per_s = given.pace_milli_per_s;
    return options;
}

admission::configured_limits limits_of(const settings::policy_settings& policies)
{
    return *admission::configured_limits::named(policies.admission ? "owned" : "none");
}

admission::configured_warmup return_of(const settings::policy_settings& policies)
{
    const bool paced = policies.cold_return == settings::cold_return_policy::paced;
    return *admission::configured_warmup::named(paced ? "paced" : "immediate");
}

std::string path_of(const target_request& request)
{
    if (request.order) {
        return "/v1/order?service=" + request.service.str();
    }
    return "/v1/part?service=" + request.service.str() +
           "&shard=" + std::to_string(request.shard.value()) +
           "&snapshot=" + std::to_string(request.snapshot.value());
}

wire::part_status status_of(admission::reject_reason reason)
{
    switch (reason) {
    case admission::reject_reason::not_owner:
        return wire::part_status::not_owner;
    case admission::reject_reason::no_lease:
        return wire::part_status::no_lease;
    case admission::reject_reason::away:
        return wire::part_status::failed;
    case admission::reject_reason::shed:
        break;
    }
    return wire::part_status::shed;
}

} // namespace

target_task::target_task(ev::loop_ref loop, base::target_id id,
                         const control::target_spec& spec,
                         const control::assignment& given,
                         const settings::policy_settings& policies, handlers on)
    : id_(std::move(id))
    , fence_(given.number)
    , spec_(spec)
    , on_(std::move(on))
    , admission_(options_of(spec, given), limits_of(policies), return_of(policies))
    , client_limit_(admission_.connection_limit())
    , client_(std::make_unique<http::target_client>(loop, spec.address, client_limit_))
    , poll_client_(std::make_unique<http::target_client>(loop, spec.address, 1))
    , wakeup_(loop)
    , poll_(loop)
{
    fact_.reachable = false;
    client_->set_socket_handler([this](http::target_client::call_number sent,
                                       bool opened) { on_socket(sent, opened); });
    wakeup_.set<target_task, &target_task::on_wakeup>(this);
    poll_.set<target_task, &target_task::on_poll>(this);
    poll_.start(0.0, poll_interval.seconds());
}

target_task::~target_task()
{
    if (client_) {
        client_->set_socket_handler(nullptr);
    }
}

std::uint64_t target_task::start(target_request request, answer_handler on_answer)
{
    const std::uint64_t call = ++last_call_;
    const admission::admission_request asked{call, request.fence, request.deadline,
                                             request.order};
    calls_[call] = call_entry{std::move(request), std::move(on_answer), 0};
    run(admission_.enqueue(clock_.now(), asked));
    return call;
}

void target_task::cancel(std::uint64_t call)
{
    const auto found = calls_.find(call);
    if (found == calls_.end()) {
        return;
    }
    found->second.on_answer = nullptr;
    const bool waits = found->second.sent == 0;
    run(admission_.on_cancel(clock_.now(), call));
    if (waits) {
        calls_.erase(call);
    }
}

void target_task::set_lease_end(base::instant end)
{
    lease_end_ = end;
    admission_.on_lease(end);
    if (!polled_ && !poll_running_ && !releasing_) {
        poll_.stop();
        poll_.start(0.0, poll_interval.seconds());
    }
}

void target_task::set_limits(const control::target_spec& spec)
{
    if (spec == spec_) {
        return;
    }
    spec_ = spec;
    admission_.set_limits(spec.slots, request_connections(spec));
    settle();
}

void target_task::release()
{
    if (!releasing_) {
        releasing_ = true;
        log_.info("releasing target " + id_.str() + " with fence " +
                  std::to_string(fence_.value()));
        run(admission_.stop_sending(clock_.now()));
    }
}

void target_task::run(const admission_type::actions& actions)
{
    for (const admission::target_action& action : actions) {
        std::visit([this](const auto& one) { perform(one); }, action);
    }
    settle();
}

void target_task::perform(const admission::start_call& action)
{
    call_entry& entry = calls_.at(action.call);
    const base::instant now = clock_.now();
    // A process that was frozen finds its lease expired here, before it sends.
    const base::instant end = std::min(action.deadline, lease_end_);
    if (end <= now) {
        refuse_expired(action.call);
        return;
    }
    http::target_call call;
    call.path = path_of(entry.request);
    call.time_limit = end - now;
    call.headers = {{"Request-Id", entry.request.key},
                    {"Deadline-Ms", std::to_string(call.time_limit.count())},
                    {"Content-Type", "application/json"}};
    call.body = *entry.request.body;
    call.fresh_connection = action.fresh && entry.request.order;
    entry.sent = client_->start(
        std::move(call), [this, number = action.call](const http::target_result& result) {
            on_result(number, result);
        });
}

void target_task::refuse_expired(std::uint64_t call)
{
    target_answer value;
    value.status = wire::part_status::no_lease;
    value.not_run = true;
    run(admission_.on_result(clock_.now(), call, {admission::call_end::expired, {}, {}}));
    answer(call, std::move(value));
}

void target_task::perform(const admission::reject_call& action)
{
    const auto found = calls_.find(action.call);
    if (found != calls_.end() && log_.info_enabled()) {
        log_.info("request " + found->second.request.key + ": refused at target " +
                  id_.str() + ": " + std::string(action.text));
    }
    target_answer value;
    value.status = status_of(action.reason);
    value.not_run = true;
    answer(action.call, std::move(value));
}

void target_task::perform(const admission::cancel_call& action)
{
    const auto found = calls_.find(action.call);
    if (found == calls_.end()) {
        return;
    }
    client_->cancel(found->second.sent);
    target_answer value;
    value.status = found->second.request.order ? wire::part_status::outcome_unknown
                                               : wire::part_status::timed_out;
    answer(action.call, std::move(value));
}

void target_task::perform(const admission::close_connections& /*action*/)
{
    // The client must not be destroyed inside its own result handler.
    close_asked_ = true;
}

void target_task::perform(const admission::target_released& action)
{
    released_ = true;
    poll_.stop();
    poll_client_.reset();
    log_.info("released target " + id_.str());
    on_.on_released(action.pace_milli_per_s, action.warm);
}

void target_task::answer(std::uint64_t call, target_answer value)
{
    const auto found = calls_.find(call);
    if (found == calls_.end()) {
        return;
    }
    value.shards = history_.shards_of(found->second.request.snapshot);
    value.queue_length = admission_.load();
    if (value.status != wire::part_status::ok) {
        value.service_time = base::duration();
    }
    const answer_handler on_answer = std::move(found->second.on_answer);
    calls_.erase(found);
    if (on_answer) {
        on_answer(std::move(value));
    }
}

void target_task::on_result(std::uint64_t call, const http::target_result& result)
{
    report_sockets();
    const auto found = calls_.find(call);
    if (found == calls_.end()) {
        settle();
        return;
    }
    checked_answer checked = check_answer(found->second.request, result);
    if (checked.answer.status == wire::part_status::snapshot_gone && !poll_running_) {
        poll_.stop();
        poll_.start(0.0, poll_interval.seconds());
    }
    const admission::call_result ended{checked.end, checked.answer.boot, result.elapsed};
    run(admission_.on_result(clock_.now(), call, ended));
    answer(call, std::move(checked.answer));
}

void target_task::on_socket(http::target_client::call_number sent, bool opened)
{
    const auto found =
        std::find_if(calls_.begin(), calls_.end(),
                     [sent](const auto& entry) { return entry.second.sent == sent; });
    socket_events_.push_back(opened && found != calls_.end() ? found->first : 0);
    wakeup_.stop();
    wakeup_.start(0.0);
}

void target_task::report_sockets()
{
    const std::vector<std::uint64_t> events = std::move(socket_events_);
    socket_events_.clear();
    const auto open = static_cast<std::uint32_t>(client_ ? client_->open_sockets() : 0);
    for (const std::uint64_t call : events) {
        const base::instant now = clock_.now();
        run(call == 0 ? admission_.on_connection_closed(now, open)
                      : admission_.on_connection_opened(now, call, open));
    }
}

void target_task::on_wakeup(ev::timer& /*watcher*/, int /*events*/)
{
    if (close_asked_ && client_ && client_->open_calls() == 0) {
        close_asked_ = false;
        client_.reset();
    }
    report_sockets();
    run(admission_.on_time(clock_.now()));
}

void target_task::settle()
{
    if (released_) {
        wakeup_.stop();
        return;
    }
    if (client_ && client_limit_ != admission_.connection_limit()) {
        client_limit_ = admission_.connection_limit();
        client_->set_max_connections(client_limit_);
    }
    publish_fact();
    const base::instant now = clock_.now();
    constexpr base::duration close_retry{5};
    const base::instant due = close_asked_
                                  ? std::min(now + close_retry, admission_.next_wakeup())
                                  : admission_.next_wakeup();
    if (!socket_events_.empty()) {
        return;
    }
    wakeup_.stop();
    if (due != base::instant::max()) {
        wakeup_.start(std::max(due - now, base::duration(0)).seconds());
    }
}

void target_task::on_poll(ev::timer& /*watcher*/, int /*events*/)
{
    if (poll_running_ || releasing_ || clock_.now() >= lease_end_) {
        return;
    }
    poll_running_ = true;
    http::target_call call;
    call.method = "GET";
    call.path = "/v1/status";
    call.time_limit = poll_interval;
    call.max_body_bytes = max_status_bytes;
    poll_client_->start(std::move(call),
                        [this](const http::target_result& result) { on_status(result); });
}

void target_task::on_status(const http::target_result& result)
{
    poll_running_ = false;
    std::optional<status_report> report;
    if (result.outcome == http::call_outcome::ok && result.status == http::status::ok) {
        report = parse_status(result.body);
    }
    admission::target_status status;
    status.reachable = report.has_value();
    if (report) {
        status.draining = report->draining;
        status.boot = report->boot;
        fact_.boot = report->boot;
        fact_.snapshots = report->snapshots;
        history_.add(report->snapshots);
        polled_ = true;
    }
    run(admission_.on_status(clock_.now(), status));
}

void target_task::publish_fact()
{
    routing::target_fact next = fact_;
    next.reachable = polled_ && !releasing_ && admission_.accepts_requests(clock_.now());
    next.draining = admission_.draining();
    next.cold = !admission_.warm();
    if (next != published_) {
        published_ = next;
        on_.on_fact(next);
    }
}

} // namespace curranthoist::entry
