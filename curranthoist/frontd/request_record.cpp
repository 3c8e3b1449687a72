#include "curranthoist/frontd/request_record.hpp"

#include "curranthoist/frontd/caller_request.hpp"
#include "curranthoist/frontd/task_context.hpp"

#include <string_view>

namespace curranthoist::frontd {

void request_record::on_actions(std::span<const forwarding::request_action> actions)
{
    std::string shards;
    std::string targets;
    std::string_view reason;
    for (const forwarding::request_action& action : actions) {
        const auto* sent = std::get_if<forwarding::send_action>(&action);
        if (sent == nullptr || sent->is_first()) {
            continue;
        }
        reason = sent->reason;
        (reason == "hedge" ? hedges_ : retries_) += 1;
        shards += (shards.empty() ? "" : ",") + std::to_string(sent->shard);
        targets += (targets.empty() ? "" : ",") + sent->target.str();
    }
    if (!reason.empty()) {
        const base::duration age = request_.clock.now() - request_.arrived;
        request_.context.log.info("event=sent id=" + request_.inbound.attempt.str() +
                                  " reason=" + std::string(reason) + " shards=" + shards +
                                  " targets=" + targets +
                                  " age_ms=" + std::to_string(age.count()));
    }
}

std::string request_record::shortages() const
{
    // Bounds the line when an index is gone.
    constexpr std::size_t max_named = 3;
    std::string text;
    std::size_t named = 0;
    for (const std::size_t shard :
         request_.sends.unsent_shards(request_.run->shard_count())) {
        if (named++ < max_named) {
            const base::service_id& service = request_.run->service_of(shard);
            text +=
                (text.empty() ? "" : "; ") + service.str() + ": " +
                request_.context.directory.explain(service, request_.clock.now()).text();
        }
    }
    return text;
}

void request_record::on_end(const ending& end) const
{
    task_context& context = request_.context;
    const deployment::route& route = request_.route;
    const request_sends& sends = request_.sends;
    const base::duration took = request_.clock.now() - request_.arrived;
    context.metrics
        .counter_named("curranthoist_requests_total", "Callers' requests by outcome",
                       std::string("outcome=\"") + end.outcome + "\"")
        .add();
    context.metrics
        .histogram_named("curranthoist_request_ms",
                         "From a request's arrival to its answer, by route",
                         "route=\"" + route.name + "\"")
        .add(took);
    std::string line =
        "event=request_ended id=" + request_.inbound.attempt.str() +
        " route=" + route.name +
        " version=" + std::to_string(request_.table->source().version) +
        " outcome=" + end.outcome + " status=" + std::to_string(end.status) +
        " took_ms=" + std::to_string(took.count()) +
        " sends=" + std::to_string(sends.count()) + " hedges=" + std::to_string(hedges_) +
        " retries=" + std::to_string(retries_) +
        " missing=" + std::to_string(end.missing);
    if (route.gathers()) {
        line += " margin_ms=" +
                std::to_string(context.margin.margin(route.objective).count());
    }
    if (request_.run->ended_early()) {
        context.metrics
            .counter_named("curranthoist_queries_ended_early_total",
                           "Queries that ended before their deadline without some shards")
            .add();
        line += " early=true";
    }
    if (!sends.groups().empty()) {
        line += " gatherers=" + std::to_string(sends.groups().size());
    }
    if (route.gathers() && end.missing > 0) {
        line += " without=" + sends.targets_without_answer(*request_.run);
    }
    if (!route.gathers() && sends.count() > 0) {
        line += " target=" + sends.last_target().str();
    }
    if (end.told_pause) {
        line += " retry_after_ms=" + std::to_string(end.told_pause->count());
    }
    if (const std::string reasons = shortages(); !reasons.empty()) {
        line += " shortage=\"" + reasons + "\"";
    }
    context.log.info(line);
}

} // namespace curranthoist::frontd
