#include "curranthoist/testing/load_generator.hpp"

#include "curranthoist/http/status.hpp"
#include "curranthoist/testing/query_digest.hpp"

#include <nlohmann/json.hpp>

#include <cmath>

namespace curranthoist::testing {

namespace {

constexpr double microseconds_per_second = 1e6;
constexpr std::int64_t microseconds_per_millisecond = 1000;
// Time beyond the deadline in which an entry should have answered; a missing answer is a
// failure of its own.
constexpr base::duration answer_grace{2000};
constexpr base::duration ready_limit{500};

} // namespace

load_generator::load_generator(ev::loop_ref loop, load_settings settings,
                               std::function<void()> on_done)
    : settings_(std::move(settings))
    , on_done_(std::move(on_done))
    , random_(settings_.seed)
    , start_(steady::now())
    , send_timer_(loop)
    , ready_timer_(loop)
{
    for (const base::endpoint& address : settings_.entries) {
        entry added;
        added.client = std::make_unique<http::target_client>(
            loop, address, settings_.connections_per_entry);
        added.ready_client = std::make_unique<http::target_client>(loop, address, 1);
        entries_.push_back(std::move(added));
    }
    next_us_ = draw_gap_us();
    send_timer_.set<load_generator, &load_generator::on_send_timer>(this);
    send_timer_.start(0.0);
    ready_timer_.set<load_generator, &load_generator::on_ready_timer>(this);
    if (settings_.ready_interval > base::duration(0)) {
        ready_timer_.start(0.0, settings_.ready_interval.seconds());
    }
}

std::int64_t load_generator::elapsed_us() const
{
    return std::chrono::duration_cast<std::chrono::microseconds>(steady::now() - start_)
        .count();
}

std::int64_t load_generator::draw_gap_us()
{
    const double mean = microseconds_per_second / settings_.rate;
    const double gap = settings_.arrivals == arrival_pattern::fixed
                           ? mean
                           : -mean * std::log(1.0 - random_.unit());
    return std::max<std::int64_t>(1, std::llround(gap));
}

void load_generator::on_send_timer(ev::timer& /*watcher*/, int /*events*/)
{
    send_due_requests();
    finish_if_done();
}

void load_generator::send_due_requests()
{
    const std::int64_t end_us = settings_.duration.count() * microseconds_per_millisecond;
    while (next_us_ < end_us && next_us_ <= elapsed_us()) {
        send_one(next_us_);
        next_us_ += draw_gap_us();
    }
    sending_ = next_us_ < end_us;
    if (sending_) {
        const auto wait_us = std::max<std::int64_t>(0, next_us_ - elapsed_us());
        ev_now_update(send_timer_.loop);
        send_timer_.start(static_cast<double>(wait_us) / microseconds_per_second);
    }
}

sent_request load_generator::next_request(std::string& body)
{
    sent_request sent;
    const bool both =
        !settings_.order_services.empty() && !settings_.query_services.empty();
    sent.is_order = both ? random_.chance(settings_.order_fraction)
                         : settings_.query_services.empty();
    const auto& services =
        sent.is_order ? settings_.order_services : settings_.query_services;
    sent.service = services.at(random_.below(services.size()));
    sent.request_id = std::to_string(wall_clock_.now().count()) + "-load" +
                      std::to_string(settings_.seed) + "." +
                      std::to_string(++last_request_);
    body = nlohmann::json{{"text", sent.request_id},
                          {"padding", std::string(settings_.padding_bytes, 'x')}}
               .dump();
    sent.digest = query_digest(body);
    return sent;
}

load_generator::entry& load_generator::next_entry()
{
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        last_entry_ = (last_entry_ + 1) % entries_.size();
        if (entries_[last_entry_].ready) {
            break;
        }
    }
    return entries_[last_entry_];
}

void load_generator::send_one(std::int64_t at_us)
{
    http::target_call call;
    const sent_request sent = next_request(call.body);
    call.path = (sent.is_order ? "/v1/order/" : "/v1/query/") + sent.service;
    call.headers = {{"Request-Id", sent.request_id},
                    {"Deadline-Ms", std::to_string(settings_.deadline.count())}};
    call.time_limit = settings_.deadline + answer_grace;
    report_.sent(sent, at_us, elapsed_us() - at_us);
    ++open_requests_;
    next_entry().client->start(std::move(call),
                               [this, sent, at_us](const http::target_result& result) {
                                   on_result(sent, at_us, result);
                               });
}

void load_generator::on_result(const sent_request& sent, std::int64_t at_us,
                               const http::target_result& result)
{
    if (result.outcome == http::call_outcome::ok) {
        report_.answered(sent, check_answer(sent, result.status, result.body), at_us,
                         elapsed_us() - at_us);
    }
    else {
        report_.failed(sent, http::outcome_text(result.outcome), at_us);
    }
    --open_requests_;
    finish_if_done();
}

void load_generator::on_ready_timer(ev::timer& /*watcher*/, int /*events*/)
{
    for (entry& each : entries_) {
        if (each.ready_client->open_calls() > 0) {
            continue;
        }
        http::target_call call;
        call.method = "GET";
        call.path = "/ready";
        call.time_limit = ready_limit;
        each.ready_client->start(
            std::move(call), [&each](const http::target_result& result) {
                each.ready = result.outcome == http::call_outcome::ok &&
                             result.status == http::status::ok;
            });
    }
}

void load_generator::finish_if_done()
{
    if (!sending_ && open_requests_ == 0 && on_done_) {
        ready_timer_.stop();
        const std::function<void()> on_done = std::move(on_done_);
        on_done_ = nullptr;
        on_done();
    }
}

} // namespace curranthoist::testing
