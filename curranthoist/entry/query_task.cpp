#include "curranthoist/entry/query_task.hpp"

#include "curranthoist/entry/answers.hpp"
#include "curranthoist/entry/part_reply_codec.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

namespace curranthoist::entry {

namespace {

routing::scatter_options options_of(std::uint64_t number, const admitted_request& request)
{
    routing::scatter_options options;
    options.query = number;
    options.deadline = request.deadline;
    options.demand_complete = request.spec.demand_complete;
    return options;
}

} // namespace

query_task::query_task(ev::loop_ref loop, std::uint64_t number, admitted_request request,
                       const std::string& body, http::responder caller,
                       service_state& shared,
                       std::shared_ptr<const routing::service_map> map,
                       relay_client& relay, base::counter_registry& metrics,
                       std::function<void()> on_end)
    : number_(number)
    , request_(std::move(request))
    , body_(body.begin(), body.end())
    , caller_(std::move(caller))
    , shared_(shared)
    , relay_(relay)
    , metrics_(metrics)
    , on_end_(std::move(on_end))
    , scatter_(shared.context, std::move(map), options_of(number, request_))
    , timer_(loop)
{
    timer_.set<query_task, &query_task::on_timer>(this);
}

query_task::~query_task()
{
    caller_.on_close(nullptr);
}

void query_task::start()
{
    started_ = clock_.now();
    caller_.on_close([this] { on_caller_gone(); });
    run(scatter_.start(started_));
}

void query_task::run(const scatter_type::actions& actions)
{
    std::vector<base::vm_id> lost;
    for (const routing::scatter_action& action : actions) {
        if (const auto* parts = std::get_if<routing::send_parts>(&action)) {
            if (!send(*parts)) {
                lost.push_back(parts->owner);
            }
        }
        else if (const auto* cancel = std::get_if<routing::cancel_part>(&action)) {
            relay_.cancel(cancel->owner, number_, cancel->part);
        }
        else {
            finish(std::get<routing::respond>(action));
        }
    }
    for (const base::vm_id& owner : lost) {
        run(scatter_.on_owner_lost(clock_.now(), owner));
    }
    schedule();
}

bool query_task::send(const routing::send_parts& action)
{
    log_send(action);
    wire::parts_request_message message;
    message.query_id = number_;
    message.request_id = request_.id.str();
    message.service = request_.service.str();
    message.snapshot = action.snapshot.value();
    const base::duration left = action.deadline - clock_.now();
    message.time_left_ms =
        static_cast<std::uint64_t>(std::max(left, base::duration(0)).count());
    message.body = body_;
    for (const routing::part_attempt& attempt : action.parts) {
        auto part = std::make_unique<wire::part_message>();
        part->part_id = attempt.part;
        part->shard = attempt.shard;
        part->target = attempt.where.target.str();
        part->fence = attempt.where.fence.value();
        message.parts.push_back(std::move(part));
    }
    return relay_.send(action.owner, std::move(message));
}

void query_task::log_send(const routing::send_parts& action) const
{
    if (!log_.info_enabled()) {
        return;
    }
    std::string parts;
    for (const routing::part_attempt& attempt : action.parts) {
        parts += (parts.empty() ? "" : ", ") + std::to_string(attempt.shard) + " on " +
                 attempt.where.target.str();
    }
    log_.info("request " + request_.id.str() + ": sent to VM " + action.owner.str() +
              " shards " + parts + " of snapshot " +
              std::to_string(action.snapshot.value()));
}

void query_task::on_part_reply(const base::vm_id& owner,
                               const wire::part_reply_message& message)
{
    const base::instant now = clock_.now();
    shared_.limiter.on_part(now, message.status == wire::part_status::shed,
                            message.queue_length);
    run(scatter_.on_part_reply(now, owner, from_message(message)));
}

void query_task::on_owner_lost(const base::vm_id& owner)
{
    run(scatter_.on_owner_lost(clock_.now(), owner));
}

void query_task::finish(const routing::respond& result)
{
    if (result.answered) {
        count(result.complete() ? "complete" : "partial");
        caller_.respond(query_answer(request_.id, request_.service, result));
    }
    else {
        count(result.not_run ? "not_run" : "unknown");
        const refusal why{refusal_status(request_.deadline - clock_.now()), result.text,
                          result.not_run ? request_outcome::not_run
                                         : request_outcome::unknown};
        caller_.respond(refusal_answer(request_.id, why));
    }
    if (log_.info_enabled()) {
        log_.info("request " + request_.id.str() + ": " +
                  std::to_string(result.results.size()) + " of " +
                  std::to_string(result.total) + " shards answered in " +
                  std::to_string((clock_.now() - started_).count()) + " ms with " +
                  std::to_string(scatter_.extra_sends()) + " extra sends" +
                  (result.answered ? "" : "; refused: " + result.text));
    }
    end();
}

void query_task::end()
{
    if (ended_) {
        return;
    }
    ended_ = true;
    timer_.stop();
    shared_.limiter.on_finish(clock_.now());
    metrics_
        .counter_named("curranthoist_extra_sends_total", "Hedges and retries of parts")
        .add(scatter_.extra_sends());
    on_end_();
}

void query_task::on_caller_gone()
{
    if (ended_) {
        return;
    }
    log_.info("request " + request_.id.str() + ": caller closed the connection");
    count("caller_gone");
    run(scatter_.cancel(clock_.now()));
    end();
}

void query_task::on_timer(ev::timer& /*watcher*/, int /*events*/)
{
    run(scatter_.on_time(clock_.now()));
}

void query_task::schedule()
{
    timer_.stop();
    const base::instant due = scatter_.next_wakeup();
    if (!ended_ && due != base::instant::max()) {
        timer_.start(std::max(due - clock_.now(), base::duration(0)).seconds());
    }
}

void query_task::count(const char* result)
{
    metrics_
        .counter_named("curranthoist_queries_total", "Queries by their result",
                       std::string("result=\"") + result + "\"")
        .add();
}

} // namespace curranthoist::entry
