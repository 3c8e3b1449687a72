#include "curranthoist/frontd/request_admission.hpp"

#include "curranthoist/frontd/front_state.hpp"
#include "curranthoist/frontd/kept_records.hpp"
#include "curranthoist/frontd/send_memory.hpp"
#include "curranthoist/http/status.hpp"

#include <algorithm>
#include <utility>

namespace curranthoist::frontd {

namespace {

// A process has its configuration and list this long after its start, even if the core
// started with it.
constexpr base::duration start_time{800};
constexpr base::duration min_retry_after{50};
// When a caller may come back that found too many requests open.
constexpr base::duration full_retry_after{250};
// When a caller may come back whose key could not be confirmed. A core that lost its
// leader has another one within about a second.
constexpr base::duration key_retry_after{500};

std::size_t counted_sends_of(const platform::inbound_request& request,
                             const deployment::route& route)
{
    return counted_sends({.sends = route.send_count(),
                          .head_bytes = request.head_bytes(),
                          .kept_answer_bytes = kept_answer_bytes(route.top_records)});
}

} // namespace

request_admission::request_admission(front_state& state,
                                     std::function<bool()> core_is_away)
    : state_(state)
    , core_is_away_(std::move(core_is_away))
    , started_(clock_.now())
{}

std::optional<request_admission::admitted>
request_admission::take(platform::inbound_request request, const http::responder& answer)
{
    // A request that is taken now might outlast the process.
    if (clock_.now() >= closed_at_) {
        refuse(request, answer, "this VM is stopping", base::duration());
        return std::nullopt;
    }
    if (!state_.knows_targets()) {
        const base::duration rest = start_time - (clock_.now() - started_);
        refuse(request, answer, "this VM is starting", std::max(rest, min_retry_after));
        return std::nullopt;
    }
    const auto& table = state_.configuration.current();
    const deployment::route* route = table->find(request.host, request.target);
    if (route == nullptr) {
        log_.info("event=request_refused id=" + request.attempt.str() +
                  " reason=\"no route\" host=" + request.host +
                  " version=" + std::to_string(table->source().version));
        answer.respond(
            platform::own_response(http::status::not_found, "no route", std::nullopt));
        return std::nullopt;
    }
    if (!admit_team(request, *route, answer)) {
        return std::nullopt;
    }
    // After the team's header lines are set.
    const std::size_t sends = counted_sends_of(request, *route);
    if (!share_room(request, *route, sends, answer)) {
        return std::nullopt;
    }
    auto place = state_.context.open_requests.take(sends);
    if (!place) {
        refuse(request, answer, "too many requests are open", full_retry_after);
        return std::nullopt;
    }
    return admitted{table, *route, std::move(request), std::move(place)};
}

bool request_admission::admit_team(platform::inbound_request& request,
                                   const deployment::route& route,
                                   const http::responder& answer)
{
    const deployment::team_table& teams = state_.newest_table().teams();
    if (!teams.requires_keys()) {
        platform::keep_team_headers(request);
        return true;
    }
    if (route.is_public) {
        return true;
    }
    const base::instant now = clock_.now();
    if (!state_.key_lease.is_valid(now)) {
        count_team("", "unconfirmed");
        refuse(request, answer, "keys can't be confirmed now", key_retry_after);
        return false;
    }
    const deployment::team* team = teams.find(request.key);
    if (team == nullptr && core_is_away_()) {
        // It may be a new one.
        count_team("", "unconfirmed");
        refuse(request, answer, "the key can't be looked up now", key_retry_after);
        return false;
    }
    if (team == nullptr) {
        count_team("", "unknown_key");
        log_.info("event=request_refused id=" + request.attempt.str() +
                  " reason=\"unknown key\" version=" +
                  std::to_string(state_.newest_table().source().version));
        answer.respond(platform::own_response(http::status::unauthorized, "unknown key",
                                              std::nullopt));
        return false;
    }
    if (const auto wait = state_.team_admission.refusal(*team, now)) {
        count_team(team->name, "over_limit");
        log_.info("event=request_refused id=" + request.attempt.str() +
                  " reason=\"team over its limit\" team=" + team->name +
                  " retry_after_ms=" + std::to_string(wait->count()));
        answer.respond(platform::own_response(http::status::too_many_requests,
                                              "not run: the team is over its limit",
                                              *wait));
        return false;
    }
    count_team(team->name, "admitted");
    platform::set_team(request, team->name);
    request.priority = team->priority;
    return true;
}

bool request_admission::share_room(const platform::inbound_request& request,
                                   const deployment::route& route, std::size_t sends,
                                   const http::responder& answer)
{
    using verdict = forwarding::team_shares::verdict;
    task_context& context = state_.context;
    const verdict found = context.shares.decide(
        request.team, {request.priority.value_or(0), route.priority},
        context.open_requests.room_for(sends), clock_.now());
    if (found == verdict::admitted) {
        return true;
    }
    const char* const cause = forwarding::verdict_name(found);
    count_team(request.team, cause);
    refuse(request, answer, "too many requests are open", full_retry_after, cause);
    return false;
}

void request_admission::count_team(const std::string& team, const char* outcome)
{
    state_.context.metrics
        .counter_named("curranthoist_team_requests_total",
                       "Requests with keys by team and outcome",
                       "team=\"" + team + "\",outcome=\"" + outcome + "\"")
        .add();
}

void request_admission::refuse(const platform::inbound_request& request,
                               const http::responder& answer, const char* reason,
                               base::duration retry_after, const char* team_cause)
{
    log_.info(
        "event=request_refused id=" + request.attempt.str() + " reason=\"" + reason +
        "\"" +
        (team_cause != nullptr ? " team=" + request.team + " cause=" + team_cause : "") +
        " retry_after_ms=" + std::to_string(retry_after.count()));
    answer.respond(platform::own_response(http::status::service_unavailable,
                                          std::string("not run: ") + reason,
                                          retry_after));
}

} // namespace curranthoist::frontd
