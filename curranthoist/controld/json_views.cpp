#include "curranthoist/controld/json_views.hpp"

#include <string>

namespace curranthoist::controld {

using nlohmann::json;

namespace {

json services_json(const control::configuration& value)
{
    json list = json::array();
    for (const auto& [id, spec] : value.services) {
        list.push_back({{"service", id.str()},
                        {"service_kind",
                         spec.kind == control::service_kind::query ? "query" : "order"},
                        {"demand_complete", spec.demand_complete},
                        {"default_deadline_ms", spec.default_deadline.count()},
                        {"max_deadline_ms", spec.max_deadline.count()},
                        {"max_body_bytes", spec.max_body_bytes}});
    }
    return list;
}

json targets_json(const control::configuration& value)
{
    json list = json::array();
    for (const auto& [id, spec] : value.targets) {
        list.push_back({{"target", id.str()},
                        {"service", spec.service.str()},
                        {"zone", spec.zone.str()},
                        {"address", spec.address.str()},
                        {"slots", spec.slots},
                        {"connections", spec.connections},
                        {"connect_cost_ms", spec.connect_cost.count()},
                        {"in_service", spec.in_service}});
    }
    return list;
}

json assignments_json(const control::configuration& value)
{
    json list = json::array();
    for (const auto& [id, held] : value.assignments) {
        const bool owned = held.phase == control::assignment_phase::owned;
        list.push_back({{"target", id.str()},
                        {"vm", held.owner.str()},
                        {"fence", held.number.value()},
                        {"phase", owned ? "owned" : "releasing"}});
    }
    return list;
}

} // namespace

json to_json(const base::findings& found)
{
    json list = json::array();
    for (const base::finding& one : found.list()) {
        list.push_back({{"place", one.place}, {"text", one.text}});
    }
    return list;
}

json to_json(const control::plan& value)
{
    json capacity = json::array();
    for (const control::service_capacity& one : value.capacity) {
        capacity.push_back({{"service", one.service.str()},
                            {"slots_before", one.slots_before},
                            {"slots_left", one.slots_left},
                            {"shards", one.shards},
                            {"shards_covered_before", one.covered_before},
                            {"shards_covered_left", one.covered_left},
                            {"shards_with_single_target", one.single_left}});
    }
    return {{"plan_id", value.plan_id},   {"base_revision", value.base_revision.value()},
            {"steps", value.steps},       {"capacity", capacity},
            {"warnings", value.warnings}, {"refused", to_json(value.refused)}};
}

json to_json(const control::decision& value)
{
    json result = {{"author", value.author},
                   {"time_ms", value.time.count()},
                   {"revision", value.number.value()},
                   {"changes", value.changes}};
    if (!value.intent.empty()) {
        result["intent_id"] = value.intent.str();
    }
    return result;
}

json to_json(const control::configuration& value)
{
    json zones = json::array();
    for (const auto& [id, spec] : value.zones) {
        zones.push_back({{"zone", id.str()}, {"in_service", spec.in_service}});
    }
    json vms = json::array();
    for (const auto& [id, spec] : value.vms) {
        vms.push_back({{"vm", id.str()},
                       {"zone", spec.zone.str()},
                       {"peer_address", spec.peer_address.str()},
                       {"in_service", spec.in_service}});
    }
    return {{"revision", value.number.value()},
            {"zones", zones},
            {"services", services_json(value)},
            {"targets", targets_json(value)},
            {"vms", vms},
            {"assignments", assignments_json(value)}};
}

} // namespace curranthoist::controld
