#include "curranthoist/testing/stand_in_target.hpp"

#include "curranthoist/base/findings.hpp"
#include "curranthoist/http/status.hpp"
#include "curranthoist/testing/fault_parser.hpp"
#include "curranthoist/testing/query_digest.hpp"

#include <charconv>

#include <unistd.h>

namespace curranthoist::testing {

namespace {

using nlohmann::json;

constexpr std::size_t max_body_bytes = std::size_t{16} * 1024 * 1024;
constexpr const char* part_path = "/v1/part";
constexpr const char* order_path = "/v1/order";

std::string dumped(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

http::caller_response not_run(unsigned status, std::string_view error)
{
    http::caller_response result;
    result.status = status;
    result.headers["Not-Run"] = "true";
    result.body = dumped({{"error", error}});
    return result;
}

std::optional<std::int64_t> number_in(const std::optional<std::string>& text)
{
    std::int64_t value = 0;
    if (!text) {
        return std::nullopt;
    }
    const char* const end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, value);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(value)
                                                         : std::nullopt;
}

bool is_order(const http::caller_request& request)
{
    return request.path == order_path;
}

// The name of one run of the process; a restart gives another.
std::string new_boot_id(const std::string& id, base::instant now)
{
    return id + "-" + std::to_string(now.count()) + "-" + std::to_string(::getpid());
}

} // namespace

stand_in_target::stand_in_target(ev::loop_ref loop, const target_settings& settings)
    : loop_(loop)
    , settings_(settings)
    , boot_id_(new_boot_id(settings.id, base::wall_clock().now()))
    , random_(settings.seed)
    , service_time_(settings.service_ms, settings.shape)
    , cold_(settings)
    , faults_(settings.seed + 1)
    , journal_(settings.journal_parts)
    , connections_(settings.connect_cost_ms)
    , snapshots_(settings.snapshots.begin(), settings.snapshots.end())
    , server_(loop, {.listen = settings.listen, .max_body_bytes = max_body_bytes},
              [this](http::caller_request request, http::responder answer) {
                  on_request(std::move(request), std::move(answer));
              })
    , admin_server_(
          loop, {.listen = settings.admin_listen},
          [this](const http::caller_request& request, const http::responder& answer) {
              on_admin_request(request, answer);
          })
{
    server_.set_accept_filter([this] { return accept_connection(); });
    server_.set_connection_handler(
        [this](std::uint64_t connection, bool open) { on_connection(connection, open); });
    cold_.turn_cold(clock_.now());
}

double stand_in_target::now_ms() const
{
    constexpr double milliseconds_per_second = 1000.0;
    return ev_time() * milliseconds_per_second;
}

bool stand_in_target::is_draining() const
{
    return faults_.find("drain", clock_.now()) != nullptr;
}

bool stand_in_target::accept_connection()
{
    if (faults_.take("refuse", clock_.now())) {
        journal_.count("refused_connections");
        return false;
    }
    // Closed connections that were not processed yet don't count against the limit.
    if (connections_.size() >= settings_.connections &&
        server_.live_connections() >= settings_.connections) {
        journal_.count("excess_connections");
        return false;
    }
    return true;
}

void stand_in_target::on_connection(std::uint64_t connection, bool open)
{
    if (!open) {
        connections_.close(connection);
        return;
    }
    connections_.open(connection, now_ms());
    journal_.count("opened_connections");
    journal_.note_connections(std::min(connections_.size(), server_.live_connections()));
}

void stand_in_target::on_request(http::caller_request request, http::responder answer)
{
    const run_number number = ++last_run_;
    auto run = std::make_unique<target_run>(loop_, std::move(request), std::move(answer));
    run->arrived = clock_.now();
    run->answer.on_close([this, number] { on_closed(number); });
    target_run& current = *run;
    runs_.emplace(number, std::move(run));
    if (connections_.is_silent(current.request.connection)) {
        journal_.count("swallowed_requests");
        return;
    }
    const double wait_ms = connections_.ready_in_ms(current.request.connection, now_ms());
    if (wait_ms > 0) {
        current.after(wait_ms, [this, number] { admit(number); });
        return;
    }
    admit(number);
}

void stand_in_target::admit(run_number number)
{
    target_run& run = *runs_.at(number);
    if (run.request.path == "/v1/status") {
        run.response.body = dumped(reported_status());
        send(number);
        return;
    }
    if (auto refusal = refusal_of(run)) {
        run.response = std::move(*refusal);
        send(number);
        return;
    }
    start(number);
}

std::optional<http::caller_response> stand_in_target::refusal_of(const target_run& run)
{
    const http::caller_request& request = run.request;
    if (request.path != part_path && request.path != order_path) {
        return not_run(http::status::not_found, "unknown path");
    }
    const auto deadline_ms = number_in(request.header("Deadline-Ms"));
    if (request.method != "POST" || !deadline_ms || !request.header("Request-Id") ||
        request.argument("service") != settings_.service) {
        journal_.count("malformed");
        return not_run(http::status::bad_request,
                       "needs POST, service, Request-Id, Deadline-Ms");
    }
    if (is_draining()) {
        journal_.count("shed_draining");
        return not_run(http::status::service_unavailable, "draining");
    }
    const base::instant now = clock_.now();
    if (now - run.arrived >= base::duration(*deadline_ms)) {
        journal_.count("expired");
        return not_run(http::status::gateway_timeout, "the deadline has passed");
    }
    if (!is_order(request)) {
        if (auto gone = refusal_of_snapshot(run)) {
            return gone;
        }
    }
    if (!cold_.admit(now, slots_in_use_)) {
        journal_.count("shed_cold");
        return not_run(http::status::service_unavailable, "cold");
    }
    if (slots_in_use_ >= settings_.slots) {
        journal_.count("shed_slots");
        return not_run(http::status::service_unavailable, "all slots are in use");
    }
    return std::nullopt;
}

std::optional<http::caller_response>
stand_in_target::refusal_of_snapshot(const target_run& run)
{
    const auto shard = number_in(run.request.argument("shard"));
    const auto version = number_in(run.request.argument("snapshot"));
    if (!shard || !version) {
        journal_.count("malformed");
        return not_run(http::status::bad_request, "needs shard and snapshot");
    }
    for (const held_snapshot& held : snapshots_) {
        if (held.version == static_cast<std::uint64_t>(*version) &&
            held.shard == static_cast<std::uint64_t>(*shard)) {
            return std::nullopt;
        }
    }
    journal_.count("snapshot_gone");
    return not_run(http::status::gone, "snapshot gone");
}

void stand_in_target::start(run_number number)
{
    target_run& run = *runs_.at(number);
    const base::instant now = clock_.now();
    ++slots_in_use_;
    run_record record;
    record.request_id = *run.request.header("Request-Id");
    record.is_order = is_order(run.request);
    record.snapshot = static_cast<std::uint64_t>(
        number_in(run.request.argument("snapshot")).value_or(0));
    record.start_ms = wall_clock_.now().count();
    run.journal_run = journal_.begin(std::move(record), slots_in_use_);
    if (faults_.take("hang", now)) {
        journal_.count("hung");
        return;
    }
    double service_ms = service_time_.draw(random_) * cold_.slowdown(now);
    if (const auto straggle = faults_.take("straggle", now)) {
        journal_.count("straggled");
        service_ms += straggle->ms;
    }
    run.after(service_ms, [this, number] { finish(number); });
}

void stand_in_target::finish(run_number number)
{
    target_run& run = *runs_.at(number);
    --slots_in_use_;
    journal_.finish(run.journal_run, wall_clock_.now().count(), run_end::completed);
    run.journal_run = 0;
    run.response = make_answer(run);
    apply_answer_faults(number);
}

http::caller_response stand_in_target::make_answer(const target_run& run)
{
    const http::caller_request& request = run.request;
    const std::string request_id = *request.header("Request-Id");
    json body = {{"target", settings_.id},
                 {"service", settings_.service},
                 {"request_id", request_id},
                 {"digest", query_digest(request.body)}};
    http::caller_response result;
    if (!is_order(request)) {
        const std::int64_t shard = number_in(request.argument("shard")).value_or(0);
        std::int64_t version = number_in(request.argument("snapshot")).value_or(0);
        if (faults_.take("wrong_snapshot", clock_.now())) {
            journal_.count("wrong_snapshots");
            ++version;
        }
        body["shard"] = shard;
        body["snapshot"] = version;
        result.headers["Shard"] = std::to_string(shard);
        result.headers["Snapshot"] = std::to_string(version);
    }
    result.body = dumped(body);
    result.headers["Request-Id"] = request_id;
    result.headers["Boot-Id"] = boot_id_;
    result.headers["Result-Length"] = std::to_string(result.body.size());
    return result;
}

void stand_in_target::apply_answer_faults(run_number number)
{
    target_run& run = *runs_.at(number);
    const base::instant now = clock_.now();
    if (last_answer_ && faults_.take("repeat", now)) {
        journal_.count("repeated");
        run.response = *last_answer_;
    }
    last_answer_ = run.response;
    if (faults_.take("truncate", now)) {
        journal_.count("truncated");
        run.response.break_after = run.response.body.size() / 2;
    }
    if (crossed_run_ != 0) {
        cross_answers(number, 0);
        return;
    }
    if (const auto crossed = faults_.take("crossed", now)) {
        cross_answers(number, crossed->ms);
        return;
    }
    if (const auto late = faults_.take("late", now)) {
        journal_.count("late");
        run.after(late->ms, [this, number] { send(number); });
        return;
    }
    send(number);
}

void stand_in_target::cross_answers(run_number number, double wait_ms)
{
    const auto first = runs_.find(crossed_run_);
    if (first == runs_.end()) {
        crossed_run_ = number;
        runs_.at(number)->after(wait_ms, [this, number] {
            crossed_run_ = 0;
            send(number);
        });
        return;
    }
    journal_.count("crossed");
    const run_number other = std::exchange(crossed_run_, 0);
    std::swap(first->second->response, runs_.at(number)->response);
    send(other);
    send(number);
}

void stand_in_target::send(run_number number)
{
    target_run& run = *runs_.at(number);
    if (connections_.is_silent(run.request.connection)) {
        journal_.count("swallowed_answers");
        run.timer.stop();
        return;
    }
    run.answer.respond(std::move(run.response));
    runs_.erase(number);
}

void stand_in_target::on_closed(run_number number)
{
    const auto found = runs_.find(number);
    if (found == runs_.end()) {
        return;
    }
    if (found->second->journal_run != 0) {
        --slots_in_use_;
        journal_.finish(found->second->journal_run, wall_clock_.now().count(),
                        run_end::cancelled);
    }
    else {
        journal_.count("closed_without_a_slot");
    }
    if (crossed_run_ == number) {
        crossed_run_ = 0;
    }
    runs_.erase(found);
}

} // namespace curranthoist::testing
