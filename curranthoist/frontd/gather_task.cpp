#include "curranthoist/frontd/gather_task.hpp"

#include "curranthoist/forwarding/record_merge.hpp"
#include "curranthoist/frontd/kept_records.hpp"
#include "curranthoist/frontd/task_context.hpp"

#include <algorithm>
#include <utility>

namespace curranthoist::frontd {

namespace {

using namespace base::literals;
using forwarding::response_kind;

// Targets that can't be reached get nothing, so another one may be tried, so often.
constexpr std::size_t max_targets_per_part = 3;

std::string text_of(const flatbuffers::String* field)
{
    return field == nullptr ? std::string() : field->str();
}

platform::inbound_request request_of(const wire::gather_request& from)
{
    platform::inbound_request request;
    request.attempt = base::request_id(text_of(from.attempt()));
    request.method = text_of(from.method());
    request.target = text_of(from.target());
    request.header_lines =
        std::make_shared<const std::string>(text_of(from.header_lines()));
    if (from.body() != nullptr) {
        request.body =
            std::make_shared<const std::string>(from.body()->begin(), from.body()->end());
    }
    return request;
}

} // namespace

gather_task::gather_task(task_context& context, const wire::gather_request& request,
                         std::shared_ptr<forwarding::open_request_limit::place> place)
    : context_(context)
    , id_(request.id())
    , request_(request_of(request))
    , top_records_(request.top_records())
    , separate_(request.separate())
    , objective_(static_cast<std::int64_t>(request.objective_ms()))
    , deadline_(clock_.now() +
                base::duration(static_cast<std::int64_t>(request.time_left_ms())))
    , latency_(context.latencies[text_of(request.route())])
    , place_(std::move(place))
    , failed_timer_(context.loop)
    , timer_(context.loop)
{
    timer_.set<gather_task, &gather_task::on_timer>(this);
    failed_timer_.set<gather_task, &gather_task::on_failed_timer>(this);
    if (request.services() != nullptr) {
        parts_.resize(request.services()->size());
        for (std::size_t i = 0; i < parts_.size(); ++i) {
            parts_[i].service = base::service_id(
                request.services()->Get(static_cast<flatbuffers::uoffset_t>(i))->str());
        }
    }
}

void gather_task::start(const deployment::configuration& source, report_handler on_report,
                        end_handler on_end)
{
    on_report_ = std::move(on_report);
    on_end_ = std::move(on_end);
    for (std::size_t i = 0; i < parts_.size(); ++i) {
        send(i, source);
    }
    if (separate_) {
        reported_ = true;
        for (std::size_t i = 0; i < parts_.size(); ++i) {
            if (!parts_[i].open) {
                report_late(i);
            }
        }
        end_if_done();
        return;
    }
    if (open_parts_ == 0) {
        report();
        end_if_done();
        return;
    }
    ev_now_update(context_.loop);
    timer_.start(latency_.hedge_delay(objective_).seconds());
}

bool gather_task::send(std::size_t index, const deployment::configuration& source)
{
    part& one = parts_[index];
    const base::instant now = clock_.now();
    const deployment::listed_target* target =
        context_.directory.choose(one.service, one.tried, now);
    if (target == nullptr || now >= send_deadline()) {
        return false;
    }
    one.tried.push_back(target->id);
    one.zone = target->zone;
    one.sent_at = now;
    one.open = true;
    ++open_parts_;
    context_.directory.on_sent(target->id, latency_.usual(), now);
    http::target_call call = platform::encode_target_call(
        request_, target->id, std::max(deadline_ - now, 1_ms));
    call.checks_connection = false;
    one.number = context_.client_of(*target, source)
                     .start(std::move(call),
                            [weak = weak_from_this(), index](http::target_result result) {
                                if (const auto self = weak.lock()) {
                                    self->on_result(index, std::move(result));
                                }
                            });
    return true;
}

void gather_task::on_result(std::size_t index, http::target_result result)
{
    part& one = parts_[index];
    if (!one.open) {
        return;
    }
    one.open = false;
    --open_parts_;
    const base::instant now = clock_.now();
    const base::duration took = now - one.sent_at;
    const std::string_view outcome = http::outcome_text(result.outcome);
    const unsigned status = result.status;
    one.response = platform::decode_target_result(std::move(result));
    one.kind = one.response.kind;
    context_.record_answer(one.tried.back(), one.response, took, latency_.usual(), now);
    context_.zone_answers.add(one.zone, one.kind, took, latency_.usual());
    if (one.kind == response_kind::success) {
        latency_.add(took);
        keep_greatest_records(one.response, top_records_);
    }
    else {
        context_.log.info("event=answer_rejected id=" + request_.attempt.str() +
                          " target=" + one.tried.back().str() + " kind=" +
                          forwarding::response_kind_name(one.kind) + " outcome=\"" +
                          std::string(outcome) + "\" status=" + std::to_string(status) +
                          " took_ms=" + std::to_string(took.count()) + " gathered=true");
        if (forwarding::was_not_sent(one.kind) &&
            one.tried.size() < max_targets_per_part && context_.configuration &&
            send(index, *context_.configuration)) {
            return;
        }
    }
    if (reported_) {
        report_late(index);
    }
    else if (open_parts_ == 0) {
        report();
    }
    else if (one.kind != response_kind::success) {
        failed_.add(index, now);
        if (!failed_timer_.is_active()) {
            ev_now_update(context_.loop);
            failed_timer_.start((*failed_.due() - now).seconds());
        }
    }
    end_if_done();
}

void gather_task::add_ungathered(wire::gather_report_message& message, std::size_t index,
                                 const part& from)
{
    auto entry = std::make_unique<wire::ungathered_part_message>();
    entry->shard = static_cast<std::uint32_t>(index);
    entry->target = from.tried.empty() ? "" : from.tried.back().str();
    entry->reason = from.open ? wire::ungathered_reason::pending
                    : forwarding::certainly_not_run(from.kind)
                        ? wire::ungathered_reason::not_run
                        : wire::ungathered_reason::failed;
    message.ungathered.push_back(std::move(entry));
}

void gather_task::report()
{
    reported_ = true;
    timer_.stop();
    failed_timer_.stop();
    wire::gather_report_message message;
    message.id = id_;
    std::vector<std::string_view> bodies;
    for (std::size_t i = 0; i < parts_.size(); ++i) {
        const part& one = parts_[i];
        if (one.open || one.kind != response_kind::success) {
            add_ungathered(message, i, one);
            continue;
        }
        auto entry = std::make_unique<wire::gathered_part_message>();
        entry->shard = static_cast<std::uint32_t>(i);
        entry->signature = one.response.signature;
        message.parts.push_back(std::move(entry));
        bodies.push_back(one.response.content.body);
    }
    const std::string records = forwarding::merge_records(bodies, top_records_);
    message.records.assign(records.begin(), records.end());
    context_.metrics
        .counter_named("curranthoist_gathered_parts_total",
                       "Parts gathered for other VMs, by whether they were in time",
                       "late=\"false\"")
        .add(static_cast<std::int64_t>(message.parts.size()));
    for (part& one : parts_) {
        one.response.content = {};
    }
    on_report_(std::move(message));
}

void gather_task::report_late(std::size_t index)
{
    part& one = parts_[index];
    wire::gather_report_message message;
    message.id = id_;
    if (one.kind == response_kind::success) {
        auto entry = std::make_unique<wire::gathered_part_message>();
        entry->shard = static_cast<std::uint32_t>(index);
        entry->signature = one.response.signature;
        message.parts.push_back(std::move(entry));
        const std::string_view body = one.response.content.body;
        const std::string records =
            forwarding::merge_records(std::span(&body, 1), top_records_);
        message.records.assign(records.begin(), records.end());
        context_.metrics
            .counter_named("curranthoist_gathered_parts_total",
                           "Parts gathered for other VMs, by whether they were in time",
                           "late=\"true\"")
            .add();
    }
    else {
        add_ungathered(message, index, one);
    }
    on_report_(std::move(message));
}

void gather_task::report_failed()
{
    wire::gather_report_message message;
    message.id = id_;
    for (const std::size_t index : failed_.take()) {
        add_ungathered(message, index, parts_[index]);
    }
    context_.metrics
        .counter_named("curranthoist_failed_parts_reported_total",
                       "Parts that failed and were reported before the other parts")
        .add(static_cast<std::int64_t>(message.ungathered.size()));
    on_report_(std::move(message));
}

base::instant gather_task::send_deadline() const
{
    return deadline_ - latency_.min_answer_time(objective_);
}

void gather_task::withdraw_late()
{
    for (const part& one : parts_) {
        http::target_client* const client =
            one.open ? context_.pool.find(one.tried.back()) : nullptr;
        if (client != nullptr) {
            client->withdraw(one.number);
        }
    }
}

void gather_task::schedule_withdrawal()
{
    const base::duration wait = send_deadline() - clock_.now();
    if (open_parts_ > 0 && wait > base::duration()) {
        ev_now_update(context_.loop);
        timer_.start(wait.seconds());
    }
}

void gather_task::end_if_done()
{
    if (open_parts_ == 0 && reported_ && !ended_) {
        ended_ = true;
        timer_.stop();
        on_end_();
    }
}

void gather_task::cancel()
{
    ended_ = true;
    timer_.stop();
    failed_timer_.stop();
    const base::instant now = clock_.now();
    for (part& one : parts_) {
        if (!one.open) {
            continue;
        }
        one.open = false;
        const base::target_id& target = one.tried.back();
        context_.directory.on_answer(target, response_kind::cancelled, now - one.sent_at,
                                     latency_.usual(), now);
        context_.zone_answers.add(one.zone, response_kind::cancelled, now - one.sent_at,
                                  latency_.usual());
        latency_.add_unfinished(now - one.sent_at);
        if (http::target_client* client = context_.pool.find(target)) {
            // Where requests are frequent, the target's slot is worth more than the
            // connection.
            if (context_.directory.is_rarely_used(one.service)) {
                client->abandon(one.number);
            }
            else {
                client->cancel(one.number);
            }
        }
    }
    open_parts_ = 0;
}

void gather_task::on_failed_timer(ev::timer& /*watcher*/, int /*events*/)
{
    report_failed();
}

void gather_task::on_timer(ev::timer& /*watcher*/, int /*events*/)
{
    if (reported_) {
        withdraw_late();
        return;
    }
    report();
    schedule_withdrawal();
}

} // namespace curranthoist::frontd
