#include "curranthoist/frontd/target_sends.hpp"

#include "curranthoist/frontd/caller_request.hpp"
#include "curranthoist/frontd/kept_records.hpp"
#include "curranthoist/frontd/task_context.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace curranthoist::frontd {

namespace {

using namespace base::literals;

} // namespace

void target_sends::start(const forwarding::send_action& action,
                         const result_handler& on_result)
{
    task_context& context = request_.context;
    const platform::inbound_request& inbound = request_.inbound;
    const base::instant now = request_.clock.now();
    const deployment::listed_target* target = context.directory.find(action.target);
    const bool may_run_once =
        request_.route.repeat == deployment::repeat_rule::at_most_once;
    // On the connection of the first send, a late copy of its rejection could not be told
    // from the answer to this one: both name the same attempt. The answer to a request
    // without a name can't be told from a copy of any other.
    const bool needs_own_connection =
        may_run_once &&
        (inbound.attempt.empty() || request_.sends.has_sent_to(action.target));
    target_send& sent = request_.sends.add(action.call);
    sent.shard = action.shard;
    sent.target = action.target;
    sent.sent = now;
    context.directory.on_sent(action.target, request_.latency.usual(), now);
    request_.run->on_sent(action.call, now);
    const base::duration left = std::max(request_.hard_limit - now, 1_ms);
    http::target_client& client = context.client_of(*target, request_.table->source());
    http::target_call call = platform::encode_target_call(inbound, action.target, left);
    call.checks_connection = may_run_once;
    call.fresh_connection = needs_own_connection;
    sent.number = client.start(
        std::move(call), [on_result, call = action.call](http::target_result result) {
            on_result(call, std::move(result));
        });
}

std::vector<forwarding::request_action>
target_sends::on_result(forwarding::call_id call, http::target_result result)
{
    task_context& context = request_.context;
    target_send& sent = request_.sends.at(call);
    sent.open = false;
    const base::instant now = request_.clock.now();
    const base::duration took = now - sent.sent;
    const http::call_outcome outcome = result.outcome;
    const unsigned status = result.status;
    sent.response = platform::decode_target_result(std::move(result));
    const forwarding::response_kind kind = sent.response->kind;
    context.record_answer(sent.target, *sent.response, took, request_.latency.usual(),
                          now);
    if (kind == forwarding::response_kind::success) {
        request_.latency.add(took);
        if (request_.route.gathers()) {
            keep_greatest_records(*sent.response, request_.route.top_records);
        }
    }
    else {
        context.log.info("event=answer_rejected id=" + request_.inbound.attempt.str() +
                         " target=" + sent.target.str() +
                         " kind=" + forwarding::response_kind_name(kind) + " outcome=\"" +
                         std::string(http::outcome_text(outcome)) +
                         "\" status=" + std::to_string(status) +
                         " took_ms=" + std::to_string(took.count()) + " pause_ms=" +
                         std::to_string(sent.response->notice.pause.count()));
    }
    return request_.run->on_answer(call, kind, now);
}

void target_sends::cancel(const forwarding::cancel_action& action, bool caller_gone)
{
    task_context& context = request_.context;
    target_send* const found = request_.sends.find(action.call);
    // A gatherer ends its calls when this request ends.
    if (found == nullptr || !found->open || found->group) {
        return;
    }
    target_send& sent = *found;
    sent.open = false;
    const base::instant now = request_.clock.now();
    context.directory.on_answer(sent.target, forwarding::response_kind::cancelled,
                                now - sent.sent, request_.latency.usual(), now);
    if (http::target_client* client = context.pool.find(sent.target)) {
        if (sent.recalled || client->withdraw(sent.number)) {
            request_.run->on_cancelled_unsent(action.call);
            return;
        }
        request_.latency.add_unfinished(now - sent.sent);
        // Where requests are frequent, the target's slot is worth more than the
        // connection.
        const bool keep_connection =
            !caller_gone &&
            context.directory.is_rarely_used(request_.run->service_of(sent.shard));
        if (keep_connection) {
            client->abandon(sent.number);
        }
        else {
            client->cancel(sent.number);
        }
    }
}

void target_sends::recall(const forwarding::recall_action& action)
{
    target_send* const found = request_.sends.find(action.call);
    if (found == nullptr || !found->open || found->group) {
        return;
    }
    if (http::target_client* client = request_.context.pool.find(found->target)) {
        found->recalled = client->withdraw(found->number);
    }
}

} // namespace curranthoist::frontd
