#include "curranthoist/controld/operator_api.hpp"

#include "curranthoist/base/parse_json.hpp"
#include "curranthoist/control/cluster_state.hpp"
#include "curranthoist/control/commands.hpp"
#include "curranthoist/control/controller.hpp"
#include "curranthoist/control/intent_json.hpp"
#include "curranthoist/control/json_fields.hpp"
#include "curranthoist/control/plan.hpp"
#include "curranthoist/controld/json_views.hpp"
#include "curranthoist/http/status.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

namespace curranthoist::controld {

using nlohmann::json;

namespace {

// Names come from operators and may hold bytes that are not UTF-8; they are replaced.
std::string text_of(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

operator_response error(unsigned status, const std::string& sentence)
{
    return {status, text_of({{"error", sentence}}), {}};
}

operator_response findings_response(unsigned status, const std::string& sentence,
                                    const base::findings& found)
{
    return {status, text_of({{"error", sentence}, {"findings", to_json(found)}}), {}};
}

json parse(std::string_view body, base::findings& found)
{
    json value = base::parse_json(body);
    if (value.is_discarded()) {
        found.add("body", "is not JSON, or is nested too deeply");
    }
    return value;
}

control::intent intent_field(control::json_fields& fields, base::findings& found)
{
    const json* value = fields.required("intent");
    return value == nullptr ? control::intent()
                            : control::read_intent(*value, "intent", found);
}

json outcome_json(const control::intent_result& result)
{
    return {{"intent_id", result.id.str()},
            {"outcome", "accepted"},
            {"revision", result.outcome.number.value()},
            {"time_ms", result.outcome.time.count()},
            {"changes", result.outcome.changes}};
}

operator_response stale_response(const std::vector<control::decision>& since)
{
    json list = json::array();
    for (const control::decision& one : since) {
        list.push_back(to_json(one));
    }
    return {http::status::conflict,
            text_of({{"error", "the configuration has changed since the plan was made"},
                     {"changed", list}}),
            {}};
}

operator_response not_leader(std::string_view path, const members_view& members)
{
    if (members.leader_operators_address.empty()) {
        return error(http::status::service_unavailable, "no leader is known");
    }
    operator_response response =
        error(http::status::temporary_redirect, "the leader is " + members.leader);
    response.location = "http://" + members.leader_operators_address + std::string(path);
    return response;
}

} // namespace

operator_result operator_api::handle(std::string_view method, std::string_view path,
                                     std::string_view body, const members_view& members,
                                     base::instant wall) const
{
    const bool post = path == "/v1/plan" || path == "/v1/confirm";
    const bool get =
        path == "/v1/status" || path == "/v1/configuration" || path == "/v1/decisions";
    if (!post && !get) {
        return {error(http::status::not_found, "unknown path"), {}, {}};
    }
    if (method != (post ? "POST" : "GET")) {
        return {error(http::status::method_not_allowed,
                      "this path takes " + std::string(post ? "POST" : "GET")),
                {},
                {}};
    }
    if (!leader_.is_leader()) {
        return {not_leader(path, members), {}, {}};
    }
    if (!leader_.is_ready()) {
        return {error(http::status::service_unavailable,
                      "the leader waits for a quorum to confirm it"),
                {},
                {}};
    }
    if (path == "/v1/confirm") {
        return confirm(body, members, wall);
    }
    if (path == "/v1/plan") {
        return {plan(body, members), {}, {}};
    }
    if (path == "/v1/status") {
        return {status(members), {}, {}};
    }
    return {path == "/v1/configuration" ? configuration() : decisions(), {}, {}};
}

control::plan operator_api::plan_for(const control::intent& wanted,
                                     const members_view& members) const
{
    control::plan made = make_plan(state_, leader_.facts(), wanted);
    if (wanted.kind != control::intent_kind::replace_member) {
        return made;
    }
    const auto is_member = [&members](const std::string& name) {
        return std::any_of(members.members.begin(), members.members.end(),
                           [&name](const auto& one) { return one.name == name; });
    };
    if (!is_member(wanted.subject)) {
        made.refused.add("intent.member", "unknown member '" + wanted.subject + "'");
    }
    if (is_member(wanted.new_member)) {
        made.refused.add("intent.new_member",
                         "'" + wanted.new_member + "' is a member already");
    }
    return made;
}

operator_response operator_api::plan(std::string_view body,
                                     const members_view& members) const
{
    base::findings found;
    const json request = parse(body, found);
    control::intent wanted;
    if (found.empty()) {
        control::json_fields fields(request, "body", found);
        wanted = intent_field(fields, found);
        fields.finish();
    }
    if (!found.empty()) {
        return findings_response(http::status::bad_request, "the request has mistakes",
                                 found);
    }
    return {http::status::ok, text_of(to_json(plan_for(wanted, members))), {}};
}

operator_result operator_api::confirm(std::string_view body, const members_view& members,
                                      base::instant wall) const
{
    constexpr std::size_t max_id_bytes = 200;
    base::findings found;
    const json request = parse(body, found);
    control::encoded::operator_intent_message command;
    std::string plan_id;
    if (found.empty()) {
        control::json_fields fields(request, "body", found);
        command.intent_id = fields.required_text("intent_id");
        command.operator_name = fields.required_text("operator");
        plan_id = fields.required_text("plan_id");
        command.base_revision = fields.required_number("base_revision");
        command.value = std::make_unique<control::intent>(intent_field(fields, found));
        fields.finish();
        for (const char* name : {"intent_id", "operator"}) {
            const json* value = fields.find(name);
            if (value != nullptr && value->is_string() &&
                value->get_ref<const std::string&>().size() > max_id_bytes) {
                fields.add(name,
                           "is longer than " + std::to_string(max_id_bytes) + " bytes");
            }
        }
    }
    if (!found.empty()) {
        return {findings_response(http::status::bad_request, "the request has mistakes",
                                  found),
                {},
                {}};
    }
    if (auto early = early_answer(command, plan_id, members)) {
        return {std::move(early), {}, {}};
    }
    const base::intent_id id(command.intent_id);
    return {std::nullopt, control::encode_command(wall, std::move(command)), id};
}

std::optional<operator_response>
operator_api::early_answer(const control::encoded::operator_intent_message& command,
                           const std::string& plan_id, const members_view& members) const
{
    control::intent_result known;
    known.id = base::intent_id(command.intent_id);
    if (const control::intent_outcome* first = state_.outcome_of(known.id)) {
        known.outcome = *first;
        known.result = first->digest == control::intent_digest(*command.value)
                           ? control::intent_result::status::repeated
                           : control::intent_result::status::id_reused;
        return confirm_response(known);
    }
    const base::revision planned(command.base_revision);
    if (planned != state_.operator_revision()) {
        return stale_response(state_.operator_decisions_since(planned));
    }
    const control::plan now = plan_for(*command.value, members);
    if (!now.refused.empty()) {
        return findings_response(http::status::unprocessable, "the intent is refused",
                                 now.refused);
    }
    if (now.plan_id != plan_id) {
        return error(http::status::conflict,
                     "the plan id belongs to another intent or revision");
    }
    return std::nullopt;
}

operator_response operator_api::confirm_response(const control::intent_result& result)
{
    using status = control::intent_result::status;
    switch (result.result) {
    case status::accepted:
    case status::repeated:
        return {http::status::ok, text_of(outcome_json(result)), {}};
    case status::id_reused:
        return error(http::status::conflict, "the intent id was used for another intent");
    case status::stale:
        return stale_response(result.since);
    case status::refused:
        break;
    }
    return findings_response(http::status::unprocessable, "the intent is refused",
                             result.refused);
}

operator_response operator_api::confirm_unknown()
{
    return error(http::status::service_unavailable,
                 "it is not known whether the intent was accepted; send it "
                 "again with the same intent id");
}

operator_response operator_api::status(const members_view& members) const
{
    json list = json::array();
    for (const member_view& one : members.members) {
        list.push_back({{"member", one.name},
                        {"peer_address", one.peer_address},
                        {"role", one.role},
                        {"match_index", one.match_index},
                        {"lag_entries", members.commit_index > one.match_index
                                            ? members.commit_index - one.match_index
                                            : 0}});
    }
    const control::configuration& current = state_.current();
    json result = {{"leader", members.leader},
                   {"members", list},
                   {"commit_index", members.commit_index},
                   {"revision", current.number.value()},
                   {"operator_revision", state_.operator_revision().value()},
                   {"vms", vm_status()},
                   {"targets", current.targets.size()},
                   {"targets_assigned", current.assignments.size()},
                   {"claims", state_.claims().size()}};
    if (const auto& wanted = state_.wanted_replacement()) {
        result["replacement"] = {{"old_member", wanted->old_member},
                                 {"new_member", wanted->new_member},
                                 {"state", members.repair}};
    }
    return {http::status::ok, text_of(result), {}};
}

json operator_api::vm_status() const
{
    std::map<base::vm_id, std::size_t> owned;
    for (const auto& [target, held] : state_.current().assignments) {
        ++owned[held.owner];
    }
    const std::uint64_t in_force = state_.current().number.value();
    json list = json::array();
    for (const auto& [vm, spec] : state_.current().vms) {
        const auto run = state_.open_incarnation(vm);
        const std::uint64_t applied =
            run ? leader_.leases().applied(vm, *run).value() : 0;
        list.push_back({{"vm", vm.str()},
                        {"zone", spec.zone.str()},
                        {"in_service", spec.in_service},
                        {"connected", leader_.is_connected(vm)},
                        {"incarnation", run ? run->value() : 0},
                        {"targets", owned[vm]},
                        {"applied_revision", applied},
                        {"lag_revisions", in_force - std::min(applied, in_force)}});
    }
    return list;
}

operator_response operator_api::configuration() const
{
    json result = to_json(state_.current());
    result["operator_revision"] = state_.operator_revision().value();
    return {http::status::ok, text_of(result), {}};
}

operator_response operator_api::decisions() const
{
    json list = json::array();
    for (const control::decision& one : state_.decisions()) {
        list.push_back(to_json(one));
    }
    return {http::status::ok, text_of({{"decisions", list}}), {}};
}

} // namespace curranthoist::controld
