#include "curranthoist/entry/order_task.hpp"

#include "curranthoist/entry/answers.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace curranthoist::entry {

namespace {

const char* outcome_name(execution::order_outcome outcome)
{
    switch (outcome) {
    case execution::order_outcome::ran:
        return "ran";
    case execution::order_outcome::not_run:
        return "not_run";
    case execution::order_outcome::unknown:
        break;
    }
    return "unknown";
}

} // namespace

order_task::order_task(ev::loop_ref loop, const execution::order_options& options,
                       admitted_request request, const std::string& body,
                       http::responder caller, service_state& shared,
                       std::shared_ptr<const routing::service_map> map,
                       relay_client& relay, control_session& control,
                       base::counter_registry& metrics, std::function<void()> on_end)
    : options_(options)
    , request_(std::move(request))
    , body_(body.begin(), body.end())
    , caller_(std::move(caller))
    , relay_(relay)
    , control_(control)
    , metrics_(metrics)
    , on_end_(std::move(on_end))
    , attempt_(shared.context, std::move(map), options_)
    , timer_(loop)
{
    timer_.set<order_task, &order_task::on_timer>(this);
}

order_task::~order_task()
{
    caller_.on_close(nullptr);
    control_.forget(request_.id, options_.attempt);
}

void order_task::start()
{
    caller_.on_close([this] { run(attempt_.on_caller_gone(clock_.now())); });
    run(attempt_.start(clock_.now()));
}

void order_task::run(const attempt_type::actions& actions)
{
    for (const execution::order_action& action : actions) {
        std::visit([this](const auto& one) { perform(one); }, action);
    }
    schedule();
}

void order_task::perform(const execution::claim_order& action)
{
    wire::claim_request_message message;
    message.request_id = request_.id.str();
    message.service = request_.service.str();
    message.attempt = action.attempt;
    const bool asked = control_.claim(std::move(message),
                                      [this](const auto& reply) { on_claim(reply); });
    if (!asked) {
        execution::claim_reply none;
        none.attempt = action.attempt;
        none.answer = wire::claim_answer::unavailable;
        run(attempt_.on_claim_reply(clock_.now(), none));
    }
}

void order_task::on_claim(const std::optional<wire::claim_reply_message>& message)
{
    if (!message) {
        run(attempt_.on_claim_lost(clock_.now()));
        return;
    }
    execution::claim_reply reply;
    reply.attempt = message->attempt;
    reply.answer = message->answer;
    reply.body.assign(message->body.begin(), message->body.end());
    run(attempt_.on_claim_reply(clock_.now(), reply));
}

void order_task::perform(const execution::send_order& action)
{
    log_.info("request " + request_.id.str() + ": sent to target " +
              action.where.target.str() + " through VM " + action.where.owner.str());
    wire::order_request_message message;
    message.query_id = action.send;
    message.request_id = request_.id.str();
    message.service = request_.service.str();
    message.target = action.where.target.str();
    message.fence = action.where.fence.value();
    const base::duration left = action.deadline - clock_.now();
    message.time_left_ms =
        static_cast<std::uint64_t>(std::max(left, base::duration(0)).count());
    message.body = body_;
    if (!relay_.send(action.where.owner, std::move(message))) {
        run(attempt_.on_not_sent(clock_.now(), action.send));
    }
}

void order_task::perform(const execution::record_outcome& action)
{
    wire::claim_outcome_message message;
    message.request_id = request_.id.str();
    message.attempt = action.attempt;
    message.result = action.result;
    message.body.assign(action.body.begin(), action.body.end());
    control_.record(std::move(message),
                    [this](bool) { run(attempt_.on_outcome_recorded(clock_.now())); });
}

void order_task::perform(const execution::answer_order& action)
{
    const bool not_run = action.outcome == execution::order_outcome::not_run;
    metrics_
        .counter_named("curranthoist_orders_total", "Orders by their outcome",
                       std::string("outcome=\"") + outcome_name(action.outcome) + "\"")
        .add();
    log_.info("request " + request_.id.str() + ": outcome " +
              outcome_name(action.outcome) +
              (action.text.empty() ? "" : ": " + std::string(action.text)));
    if (action.outcome == execution::order_outcome::ran) {
        caller_.respond(order_answer(request_.id, request_.service, action.body));
        return;
    }
    const refusal why{refusal_status(request_.deadline - clock_.now()),
                      std::string(action.text),
                      not_run ? request_outcome::not_run : request_outcome::unknown};
    caller_.respond(refusal_answer(request_.id, why));
}

void order_task::on_order_reply(const wire::order_reply_message& message)
{
    execution::order_reply reply;
    reply.send = message.query_id;
    reply.status = message.status;
    reply.not_run = message.not_run;
    reply.body.assign(message.body.begin(), message.body.end());
    run(attempt_.on_order_reply(clock_.now(), reply));
}

void order_task::on_owner_lost(const base::vm_id& owner)
{
    run(attempt_.on_owner_lost(clock_.now(), owner));
}

void order_task::on_timer(ev::timer& /*watcher*/, int /*events*/)
{
    run(attempt_.on_time(clock_.now()));
}

void order_task::schedule()
{
    timer_.stop();
    if (attempt_.finished()) {
        if (!ended_) {
            ended_ = true;
            on_end_();
        }
        return;
    }
    const base::instant due = attempt_.next_wakeup();
    if (due != base::instant::max()) {
        timer_.start(std::max(due - clock_.now(), base::duration(0)).seconds());
    }
}

} // namespace curranthoist::entry
