#include "curranthoist/cored/operator_requests.hpp"

#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/base/wall_clock.hpp"
#include "curranthoist/cored/founder_choice.hpp"
#include "curranthoist/cored/founding_api.hpp"
#include "curranthoist/cored/join_client.hpp"
#include "curranthoist/cored/membership_keeper.hpp"
#include "curranthoist/deployment/configuration_check.hpp"
#include "curranthoist/http/status.hpp"
#include "curranthoist/platform/configuration_document.hpp"
#include "curranthoist/platform/rollout_document.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace curranthoist::cored {

namespace {

// A founded log takes orders once it has enough members, or after this time without them.
constexpr base::duration gathering_limit{5000};

http::caller_response text_response(unsigned status, const std::string& error)
{
    return {.status = status, .body = R"({"error":")" + error + R"("})"};
}

// JSON text without the characters that would end it.
std::string quoted_safe(std::string text)
{
    std::replace_if(
        text.begin(), text.end(),
        [](char one) { return one == '"' || one == '\\' || one == '\n'; }, ' ');
    return text;
}

} // namespace

operator_requests::operator_requests(
    host_type& host, const deployment::deployment_state& state, membership_keeper& keeper,
    founder_choice& choice, base::endpoint own_peers, const base::endpoint& founder,
    std::uint16_t operators_port, version_source listed_version)
    : host_(host)
    , state_(state)
    , keeper_(keeper)
    , choice_(choice)
    , own_peers_(std::move(own_peers))
    , founder_(founder)
    , operators_port_(operators_port)
    , listed_version_(std::move(listed_version))
    , started_(clock_.now())
{}

base::endpoint operator_requests::operators_of(const base::endpoint& peers) const
{
    // Every VM of a deployment uses the same ports.
    return {peers.address, operators_port_};
}

void operator_requests::count_order(const char* outcome)
{
    metrics_
        .counter_named("curranthoist_orders_total", "Operators' orders by outcome",
                       std::string("outcome=\"") + outcome + "\"")
        .add();
}

void operator_requests::answer(const http::caller_request& request,
                               const http::responder& answer)
{
    if (request.method == "POST" && request.path == join_client::path) {
        on_join(request, answer);
        return;
    }
    if (request.path == founding_api::path) {
        // Whoever asks now comes after the log was founded.
        choice_.settle(founder_.address.empty() ? own_peers_ : founder_);
        founding_api::answer_request(choice_, request, answer, clock_.now());
        return;
    }
    const auto call = platform::decode_operator_call(request.method, request.target);
    if (std::holds_alternative<platform::replace_configuration_call>(call)) {
        replace_configuration(request, answer);
    }
    else if (std::holds_alternative<platform::read_configuration_call>(call)) {
        read_configuration(request.target, answer);
    }
    else if (const auto* order = std::get_if<platform::evacuation_call>(&call)) {
        change_evacuation(*order, request.target, answer);
    }
    else if (std::holds_alternative<platform::start_rollout_call>(call)) {
        start_rollout(request, answer);
    }
    else if (const auto* read = std::get_if<platform::read_rollout_call>(&call)) {
        read_rollout(read->service, request.target, answer);
    }
    else {
        answer.respond(text_response(http::status::not_found, "unknown call"));
    }
}

void operator_requests::redirect(const std::string& path, const http::responder& answer)
{
    const auto leader = host_.leader();
    if (!leader || leader->id == host_.status().self) {
        answer.respond(
            text_response(http::status::service_unavailable, "no leader is known"));
        return;
    }
    http::caller_response response =
        text_response(http::status::temporary_redirect, "not the leader");
    response.headers.emplace("Location",
                             "http://" + operators_of(leader->address).str() + path);
    answer.respond(std::move(response));
}

bool operator_requests::is_gathering() const
{
    if (founder_.address.empty() || clock_.now() - started_ > gathering_limit) {
        return false;
    }
    const auto members = host_.status().members;
    const auto voters = std::count_if(
        members.members().begin(), members.members().end(),
        [](const auto& one) { return one.role == consensus::member_role::voter; });
    return static_cast<std::size_t>(voters) < membership_keeper::least_voters;
}

void operator_requests::propose(std::vector<std::uint8_t> command,
                                const std::string& what, const http::responder& answer,
                                std::function<http::caller_response()> respond)
{
    if (is_gathering()) {
        answer.respond(text_response(http::status::service_unavailable,
                                     "the log has too few members yet"));
        return;
    }
    host_.propose(
        std::move(command),
        [this, what, answer, respond = std::move(respond), begun = clock_.now()](
            consensus::proposal_outcome outcome, base::log_index index) {
            const bool applied = outcome == consensus::proposal_outcome::applied;
            count_order(applied ? "applied" : "unknown");
            metrics_
                .histogram_named("curranthoist_commit_ms",
                                 "From an order's arrival at the leader to its outcome")
                .add(clock_.now() - begun);
            log_.info("event=order_ended " + what +
                      " index=" + std::to_string(index.value()) +
                      " outcome=" + (applied ? "applied" : "unknown"));
            if (!applied) {
                answer.respond(text_response(http::status::service_unavailable,
                                             "the outcome is not known"));
                return;
            }
            answer.respond(respond ? respond() : http::caller_response{.body = "{}"});
        });
}

void operator_requests::replace_configuration(const http::caller_request& request,
                                              const http::responder& answer)
{
    std::uint64_t version = 0;
    try {
        const deployment::configuration wanted =
            platform::decode_configuration(request.body);
        deployment::limits_beyond_any_vm(wanted).throw_if_any();
        version = wanted.version;
    }
    catch (const base::findings_error& error) {
        log_.warn(
            "event=configuration_refused bytes=" + std::to_string(request.body.size()) +
            " findings=\"" + quoted_safe(error.what()) + "\"");
        count_order("invalid");
        answer.respond(
            text_response(http::status::bad_request, quoted_safe(error.what())));
        return;
    }
    const std::string what =
        "order=replace_configuration version=" + std::to_string(version);
    // What this member has applied is committed, so an older version is held for good.
    if (version <= state_.version()) {
        log_.info("event=order_ended " + what +
                  " outcome=held version_held=" + std::to_string(state_.version()));
        count_order("held");
        answer.respond({.body = "{}"});
        return;
    }
    if (!host_.is_leader()) {
        redirect(request.target, answer);
        return;
    }
    propose(deployment::deployment_state::replace_configuration(version, request.body),
            what, answer);
}

void operator_requests::read_configuration(const std::string& path,
                                           const http::responder& answer)
{
    if (!host_.is_leader()) {
        redirect(path, answer);
        return;
    }
    host_.confirm_read([this, answer](bool confirmed) {
        if (!confirmed || state_.version() == 0) {
            answer.respond(text_response(http::status::service_unavailable,
                                         "the newest configuration is not known"));
            return;
        }
        answer.respond({.body = state_.document()});
    });
}

void operator_requests::change_evacuation(const platform::evacuation_call& call,
                                          const std::string& path,
                                          const http::responder& answer)
{
    if (!host_.is_leader()) {
        redirect(path, answer);
        return;
    }
    propose(deployment::deployment_state::change_evacuation(call.zone, call.start),
            std::string("order=") + (call.start ? "start" : "end") +
                "_evacuation zone=" + call.zone.str(),
            answer);
}

void operator_requests::refuse_order(const std::string& what, unsigned status,
                                     const std::string& reason,
                                     const http::responder& answer)
{
    log_.warn("event=order_refused " + what + " reason=\"" + reason + "\"");
    count_order("invalid");
    answer.respond(text_response(status, reason));
}

void operator_requests::start_rollout(const http::caller_request& request,
                                      const http::responder& answer)
{
    deployment::rollout order;
    try {
        order = platform::decode_rollout_order(request.body);
    }
    catch (const base::findings_error& error) {
        refuse_order("order=start_rollout", http::status::bad_request,
                     quoted_safe(error.what()), answer);
        return;
    }
    if (!host_.is_leader()) {
        redirect(request.target, answer);
        return;
    }
    host_.confirm_read([this, order = std::move(order), answer](bool confirmed) {
        if (!confirmed) {
            answer.respond(text_response(http::status::service_unavailable,
                                         "the roll-outs are not known"));
            return;
        }
        start_confirmed_rollout(order, answer);
    });
}

void operator_requests::start_confirmed_rollout(deployment::rollout order,
                                                const http::responder& answer)
{
    const std::string what =
        "order=start_rollout service=" + quoted_safe(order.service.str()) +
        " version=" + quoted_safe(order.target_version);
    const auto respond = [this, service = order.service,
                          version = order.target_version]() -> http::caller_response {
        const auto stored = state_.rollouts().find(service);
        if (stored != state_.rollouts().end() &&
            stored->second.target_version == version) {
            return {.body = "{}"};
        }
        return text_response(http::status::conflict,
                             "a roll-out of the service to another version runs");
    };
    const auto known = state_.rollouts().find(order.service);
    if (known != state_.rollouts().end()) {
        const deployment::rollout& newest = known->second;
        // An order whose acknowledgement was lost comes again, also after its end.
        if (newest.target_version == order.target_version) {
            count_order("held");
            log_.info("event=order_ended " + what + " outcome=held");
            answer.respond(respond());
            return;
        }
        if (newest.phase == deployment::rollout_phase::running) {
            refuse_order(what, http::status::conflict,
                         "a roll-out of the service to another version runs", answer);
            return;
        }
    }
    try {
        if (!platform::decode_configuration(state_.document())
                 .services.contains(order.service)) {
            refuse_order(what, http::status::bad_request,
                         "the configuration has no such service", answer);
            return;
        }
    }
    catch (const base::findings_error& error) {
        log_.error(
            "event=configuration_unreadable version=" + std::to_string(state_.version()) +
            " findings=\"" + quoted_safe(error.what()) + "\"");
        answer.respond(text_response(http::status::service_unavailable,
                                     "the newest configuration is not known"));
        return;
    }
    const auto base_version = listed_version_(order.service, order.target_version);
    if (!base_version) {
        answer.respond(text_response(http::status::service_unavailable,
                                     "the targets' versions are not known yet"));
        return;
    }
    order.base_version = *base_version;
    order.ordered_at = base::wall_clock().now();
    propose(deployment::deployment_state::start_rollout(order),
            what + " base_version=" + order.base_version, answer, respond);
}

void operator_requests::read_rollout(const base::service_id& service,
                                     const std::string& path,
                                     const http::responder& answer)
{
    if (!host_.is_leader()) {
        redirect(path, answer);
        return;
    }
    host_.confirm_read([this, service, answer](bool confirmed) {
        if (!confirmed) {
            answer.respond(text_response(http::status::service_unavailable,
                                         "the roll-outs are not known"));
            return;
        }
        const auto stored = state_.rollouts().find(service);
        if (stored == state_.rollouts().end()) {
            answer.respond(text_response(http::status::not_found,
                                         "no roll-out of the service was ordered"));
            return;
        }
        answer.respond({.body = platform::encode_rollout_state(stored->second)});
    });
}

void operator_requests::on_join(const http::caller_request& request,
                                const http::responder& answer)
{
    const auto from = join_client::decode(request.body);
    if (!from) {
        answer.respond(text_response(http::status::bad_request, "not an application"));
        return;
    }
    if (!host_.is_leader()) {
        if (on_applicant_) {
            on_applicant_(from->address);
        }
        redirect(request.target, answer);
        return;
    }
    keeper_.on_join(from->id, from->address, clock_.now());
    answer.respond({.body = "{}"});
}

} // namespace curranthoist::cored
