#include "curranthoist/testing/platform/stand_in_platform.hpp"

#include "curranthoist/http/status.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace curranthoist::testing {

namespace {

constexpr unsigned failure_status = 500;
// Longer than the longest head that the programs take from callers.
constexpr std::size_t target_header_bytes = std::size_t{272} * 1024;

} // namespace

stand_in_platform::stand_in_platform(const base::endpoint& list)
    : answer_timer_(loop_)
    , wake_(loop_)
{
    answer_timer_.set<stand_in_platform, &stand_in_platform::on_answer_timer>(this);
    wake_.set<stand_in_platform, &stand_in_platform::on_wake>(this);
    wake_.start();
    list_ = std::make_unique<http::caller_server>(
        loop_, http::caller_server_options{.listen = list},
        [this](const http::caller_request&, const http::responder& answer) {
            on_list(answer);
        });
    thread_ = std::thread([this] { loop_.run(0); });
}

stand_in_platform::~stand_in_platform()
{
    on_loop([this] { loop_.break_loop(ev::ALL); });
    thread_.join();
}

template <class Action>
void stand_in_platform::on_loop(Action action)
{
    {
        const std::lock_guard lock(mutex_);
        action_ = std::move(action);
    }
    action_done_ = false;
    wake_.send();
    while (!action_done_) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

void stand_in_platform::on_wake(ev::async& /*watcher*/, int /*events*/)
{
    std::function<void()> action;
    {
        const std::lock_guard lock(mutex_);
        action = std::move(action_);
        action_ = nullptr;
    }
    if (action) {
        action();
        action_done_ = true;
    }
}

void stand_in_platform::add(const target& added)
{
    on_loop([this, added] {
        auto& one = targets_[added.id];
        one = std::make_unique<served_target>();
        one->listed = added;
        one->server = std::make_unique<http::caller_server>(
            loop_,
            http::caller_server_options{.listen = added.address,
                                        .max_header_bytes = target_header_bytes},
            [this, &at = *one](const http::caller_request& request,
                               const http::responder& answer) {
                on_request(at, request, answer);
            });
    });
}

void stand_in_platform::set_state(const std::string& id, const std::string& state)
{
    on_loop([this, id, state] { targets_.at(id)->listed.state = state; });
}

void stand_in_platform::set_behaviour(const std::string& id, target_behaviour behaviour)
{
    on_loop([this, id, behaviour] { targets_.at(id)->behaviour = behaviour; });
}

void stand_in_platform::set_cold(const std::string& id, unsigned cold_ms)
{
    on_loop([this, id, cold_ms] { targets_.at(id)->listed.cold_ms = cold_ms; });
}

void stand_in_platform::set_odd_entry(const std::string& bytes)
{
    on_loop([this, bytes] { odd_entry_ = bytes; });
}

std::size_t stand_in_platform::arrivals_at(const std::string& id) const
{
    const std::lock_guard lock(mutex_);
    const auto found = arrivals_.find(id);
    return found == arrivals_.end() ? 0 : found->second;
}

void stand_in_platform::remove(const std::string& id)
{
    on_loop([this, id] { targets_.erase(id); });
}

std::vector<stand_in_platform::run> stand_in_platform::journal() const
{
    const std::lock_guard lock(mutex_);
    return journal_;
}

std::size_t stand_in_platform::runs_of(const std::string& attempt) const
{
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(
        std::count_if(journal_.begin(), journal_.end(),
                      [&](const run& one) { return one.attempt == attempt; }));
}

std::string stand_in_platform::records_of(const std::string& service)
{
    std::string records;
    for (const char first : {'a', 'c', 'b'}) {
        std::string record = std::string(1, first) + "-" + service;
        record.resize(16, '.');
        records += record;
    }
    return records;
}

void stand_in_platform::on_list(const http::responder& answer)
{
    ++list_calls_;
    nlohmann::json entries = nlohmann::json::array();
    for (const auto& [id, one] : targets_) {
        entries.push_back(
            {{"id", id},
             {"service", one->listed.service},
             {"address", one->listed.listed_address.value_or(one->listed.address).str()},
             {"zone", one->listed.zone},
             {"version", one->listed.version},
             {"slots", 2},
             {"state", one->listed.state},
             {"cold_remaining_ms", one->listed.cold_ms}});
    }
    const std::string odd = odd_entry_.empty() ? "" : odd_entry_ + ",";
    answer.respond({.body = R"({"instances":[)" + odd + entries.dump().substr(1) +
                            R"(,"next_page_token":null})"});
}

void stand_in_platform::on_request(served_target& at, const http::caller_request& request,
                                   const http::responder& answer)
{
    const std::string& id = at.listed.id;
    {
        const std::lock_guard lock(mutex_);
        ++arrivals_[id];
    }
    const bool leaves = at.behaviour == target_behaviour::leaves;
    if (request.path == "/health") {
        answer.respond(
            {.status = leaves ? http::status::service_unavailable : http::status::ok,
             .headers = {{"Instance-Id", id}, {"Server-Leaving", leaves ? "1" : "0"}},
             .body = "{}"});
        return;
    }
    if (request.header("Expected-Instance") != id) {
        answer.respond(
            {.status = http::status::misdirected, .headers = {{"Instance-Id", id}}});
        return;
    }
    if (at.behaviour == target_behaviour::sheds ||
        at.behaviour == target_behaviour::wants_pause) {
        http::caller_response refusal{.status = http::status::service_unavailable,
                                      .headers = {{"Not-Executed", "1"}}};
        if (at.behaviour == target_behaviour::wants_pause) {
            refusal.headers.emplace("Retry-After", "2");
        }
        answer.respond(std::move(refusal));
        return;
    }
    const std::string attempt = request.header("Attempt-Id").value_or("");
    const base::instant now = clock_.now();
    {
        const std::lock_guard lock(mutex_);
        journal_.push_back({id, attempt, request.method, request.target, request.body,
                            now, request.header("Tenant").value_or(""),
                            request.header("Key").value_or("")});
    }
    if (at.listed.work == base::duration()) {
        answer_run(at, attempt, answer);
        return;
    }
    due_.emplace(now + at.listed.work, [this, id, attempt, answer] {
        const auto found = targets_.find(id);
        if (found != targets_.end()) {
            answer_run(*found->second, attempt, answer);
        }
    });
    answer_timer_.stop();
    ev_now_update(loop_);
    answer_timer_.start(std::max(0.0, (due_.begin()->first - clock_.now()).seconds()));
}

void stand_in_platform::on_answer_timer(ev::timer& /*watcher*/, int /*events*/)
{
    const base::instant now = clock_.now();
    while (!due_.empty() && due_.begin()->first <= now) {
        const auto action = std::move(due_.begin()->second);
        due_.erase(due_.begin());
        action();
    }
    if (!due_.empty()) {
        ev_now_update(loop_);
        answer_timer_.start(
            std::max(0.0, (due_.begin()->first - clock_.now()).seconds()));
    }
}

void stand_in_platform::answer_run(served_target& at, const std::string& attempt,
                                   const http::responder& answer)
{
    const bool fails = at.behaviour == target_behaviour::fails;
    if (at.behaviour == target_behaviour::loses_answers) {
        answer.drop();
    }
    else if (at.behaviour == target_behaviour::hangs) {
        at.kept.push_back(answer);
    }
    else {
        const std::size_t size = at.listed.answer_bytes;
        http::caller_response response{
            .status = fails ? failure_status : http::status::ok,
            .headers = {{"Server-Stamp", at.listed.id + "." + attempt},
                        {"Attempt-Id", attempt}},
            .body = fails       ? "failed"
                    : size != 0 ? std::string(size, 'r')
                                : records_of(at.listed.service)};
        if (at.behaviour == target_behaviour::leaves) {
            response.headers.emplace("Server-Leaving", "1");
        }
        answer.respond(std::move(response));
    }
}

} // namespace curranthoist::testing
