#include "curranthoist/platform/configuration_review.hpp"

#include "curranthoist/base/parse_json.hpp"
#include "curranthoist/deployment/configuration_check.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <map>
#include <utility>

namespace curranthoist::platform {

namespace {

using deployment::configuration_field;
using deployment::configuration_part;
using deployment::configuration_remark;

std::string in_list(const std::string& name, std::size_t index)
{
    return name + "[" + std::to_string(index) + "]";
}

std::string field_place(const configuration_remark& remark)
{
    if (!remark.element) {
        return document_name(remark.field);
    }
    // A weight, and a service that is one of several, stand in a split's entry.
    switch (remark.field) {
    case configuration_field::weight:
        return in_list("traffic_split", *remark.element) + ".weight";
    case configuration_field::services:
        return in_list("traffic_split", *remark.element) + ".service";
    default:
        return in_list(document_name(remark.field), *remark.element);
    }
}

std::string entry_place(const configuration_remark& remark,
                        const std::map<std::string, std::size_t>& service_places)
{
    switch (remark.part) {
    case configuration_part::route:
        return in_list("routes", remark.index);
    case configuration_part::service:
        return in_list("services", service_places.at(remark.service));
    case configuration_part::team:
        return in_list("tenants", remark.index);
    case configuration_part::limits:
        return "limits";
    case configuration_part::whole:
        break;
    }
    return "";
}

// Finds routes that name their destination in more than one way; the decoder takes the
// first of these fields and ignores the others.
void review_destinations(const nlohmann::json& body, base::findings& result)
{
    std::size_t index = 0;
    for (const nlohmann::json& route : body.at("routes")) {
        std::string used;
        for (const char* const name : {"shard_services", "traffic_split", "service"}) {
            const auto field = route.find(name);
            if (field == route.end() || field->is_null()) {
                continue;
            }
            if (used.empty()) {
                used = name;
            }
            else {
                result.add(in_list("routes", index) + "." + name,
                           "has no effect beside " + used);
            }
        }
        ++index;
    }
}

} // namespace

std::string document_name(configuration_field field)
{
    switch (field) {
    case configuration_field::entry:
        return "";
    case configuration_field::version:
        return "version";
    case configuration_field::teams:
        return "tenants";
    case configuration_field::name:
        return "name";
    case configuration_field::host:
        return "host";
    case configuration_field::path_prefix:
        return "path_prefix";
    case configuration_field::repeat:
        return "route_kind";
    case configuration_field::time_limit:
        return "timeout_ms";
    case configuration_field::objective:
        return "target_latency_ms";
    case configuration_field::priority:
        return "priority";
    case configuration_field::max_attempts:
        return "max_attempts";
    case configuration_field::services:
        return "service";
    case configuration_field::weight:
        return "weight";
    case configuration_field::shards:
        return "shard_services";
    case configuration_field::top_records:
        return "top_k";
    case configuration_field::min_share:
        return "min_shard_share";
    case configuration_field::is_public:
        return "public";
    case configuration_field::health_path:
        return "health_check_path";
    case configuration_field::max_connections:
        return "max_connections";
    case configuration_field::cold_time:
        return "cold_start_s";
    case configuration_field::cold_requests_per_second:
        return "cold_per_s";
    case configuration_field::keys:
        return "api_keys";
    case configuration_field::rate:
        return "rate_per_s";
    case configuration_field::burst:
        return "burst";
    case configuration_field::max_header_bytes:
        return "max_header_bytes";
    case configuration_field::max_body_bytes:
        return "max_body_bytes";
    case configuration_field::header_timeout:
        return "header_timeout_ms";
    case configuration_field::idle_timeout:
        return "idle_timeout_ms";
    }
    return "";
}

base::findings review_configuration(std::string_view document,
                                    const deployment::configuration& decoded)
{
    base::findings result;
    std::map<std::string, std::size_t> service_places;
    std::size_t index = 0;
    const nlohmann::json body = base::parse_json(document);
    for (const nlohmann::json& one : body.at("services")) {
        const auto name = one.at("name").get<std::string>();
        const auto [earlier, first] = service_places.emplace(name, index);
        if (!first) {
            result.add(in_list("services", earlier->second),
                       "has no effect, since " + in_list("services", index) +
                           " has the same name");
            earlier->second = index;
        }
        ++index;
    }
    review_destinations(body, result);
    for (const configuration_remark& remark : deployment::check_configuration(decoded)) {
        std::string place = entry_place(remark, service_places);
        if (const std::string field = field_place(remark); !field.empty()) {
            place += "." + field;
        }
        result.add(std::move(place), remark.text);
    }
    return result;
}

} // namespace curranthoist::platform
