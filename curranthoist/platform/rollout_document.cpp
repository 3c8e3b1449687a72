#include "curranthoist/platform/rollout_document.hpp"

#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/base/parse_json.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace curranthoist::platform {

namespace {

using nlohmann::json;

constexpr std::size_t max_name_bytes = 256;
constexpr double max_duration_s = 7.0 * 24 * 3600;
constexpr double milliseconds_per_second = 1000.0;

// Versions are compared with those of listed targets, which are of visible ASCII.
std::string read_name(const json& order, const char* field, base::findings& found)
{
    const auto value = order.find(field);
    if (value == order.end() || !value->is_string()) {
        found.add(field, "is missing or not a text");
        return {};
    }
    auto name = value->get<std::string>();
    const bool is_plain = std::all_of(name.begin(), name.end(), [](char letter) {
        return letter > ' ' && letter < '\x7F';
    });
    if (name.empty() || name.size() > max_name_bytes || !is_plain) {
        found.add(field, "is not a name of 1 to 256 visible ASCII characters");
    }
    return name;
}

base::duration read_duration(const json& order, base::findings& found)
{
    constexpr const char* field = "duration_s";
    const auto value = order.find(field);
    const double seconds =
        value != order.end() && value->is_number() ? value->get<double>() : 0.0;
    if (!(seconds > 0 && seconds <= max_duration_s)) {
        found.add(field, "is not a number above 0 and up to a week");
        return {};
    }
    return base::duration(
        static_cast<std::int64_t>(std::ceil(seconds * milliseconds_per_second)));
}

const char* phase_name(deployment::rollout_phase phase)
{
    switch (phase) {
    case deployment::rollout_phase::running:
        return "running";
    case deployment::rollout_phase::completed:
        return "completed";
    case deployment::rollout_phase::rolled_back:
        return "rolled_back";
    }
    return "";
}

} // namespace

deployment::rollout decode_rollout_order(std::string_view body)
{
    const json order = base::parse_json(body);
    base::findings found;
    if (!order.is_object()) {
        found.add("order", "is not a JSON object");
        throw base::findings_error(found);
    }
    deployment::rollout result;
    result.service = base::service_id(read_name(order, "service", found));
    result.target_version = read_name(order, "target_version", found);
    result.duration = read_duration(order, found);
    found.throw_if_any();
    return result;
}

std::string encode_rollout_state(const deployment::rollout& value)
{
    const json state{{"state", phase_name(value.phase)},
                     {"target_version", value.target_version}};
    return state.dump();
}

} // namespace curranthoist::platform
