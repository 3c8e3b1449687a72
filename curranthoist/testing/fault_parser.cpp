#include "curranthoist/testing/fault_parser.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace curranthoist::testing {

namespace {

using nlohmann::json;

constexpr double default_crossed_wait_ms = 500;

struct fault_rule
{
    std::set<std::string, std::less<>> required;
    std::set<std::string, std::less<>> optional;
};

const std::map<std::string, fault_rule, std::less<>>& rules()
{
    static const std::map<std::string, fault_rule, std::less<>> table = {
        {"straggle", {{"ms"}, {"probability", "count", "duration_ms"}}},
        {"late", {{"ms"}, {"probability", "count", "duration_ms"}}},
        {"truncate", {{}, {"probability", "count", "duration_ms"}}},
        {"crossed", {{}, {"ms", "probability", "count", "duration_ms"}}},
        {"repeat", {{}, {"probability", "count", "duration_ms"}}},
        {"wrong_snapshot", {{}, {"probability", "count", "duration_ms"}}},
        {"hang", {{}, {"probability", "count", "duration_ms"}}},
        {"refuse", {{}, {"probability", "count", "duration_ms"}}},
        {"drain", {{}, {"duration_ms"}}},
        {"lie_status", {{}, {"override", "freeze", "duration_ms"}}},
        {"stall_connections", {}},
        {"turn_cold", {}},
        {"vanish_snapshot", {{"version"}, {}}},
        {"add_snapshot", {{"version", "shard", "shards"}, {}}},
        {"clear", {{}, {"name"}}},
    };
    return table;
}

// Checks the value of a known key; returns what is wrong, or nothing.
std::string value_mistake(const std::string& key, const json& value)
{
    if (key == "override") {
        return value.is_object() ? "" : "must be an object";
    }
    if (key == "freeze") {
        return value.is_boolean() ? "" : "must be true or false";
    }
    if (key == "name") {
        return value.is_string() && rules().contains(value.get<std::string>())
                   ? ""
                   : "must be the name of a fault";
    }
    if (key == "probability") {
        return value.is_number() && value >= 0.0 && value <= 1.0 ? ""
                                                                 : "must be in 0 to 1";
    }
    if (key == "ms") {
        return value.is_number() && value >= 0.0 ? "" : "must be a number of 0 or more";
    }
    return value.is_number_unsigned() ? "" : "must be a whole number of 0 or more";
}

void check_keys(const json& command, const fault_rule& rule, base::findings& found)
{
    for (const auto& [key, value] : command.items()) {
        if (key == "fault") {
            continue;
        }
        if (!rule.required.contains(key) && !rule.optional.contains(key)) {
            found.add("body." + key, "unknown key for this fault");
            continue;
        }
        const std::string mistake = value_mistake(key, value);
        if (!mistake.empty()) {
            found.add("body." + key, mistake);
        }
    }
    for (const std::string& key : rule.required) {
        if (!command.contains(key)) {
            found.add("body." + key, "missing");
        }
    }
}

fault make_fault(const json& command)
{
    fault result;
    result.name = command["fault"];
    result.probability = command.value("probability", 1.0);
    result.ms = command.value("ms", default_crossed_wait_ms);
    if (command.contains("count")) {
        result.count = command["count"].get<std::uint64_t>();
    }
    if (command.contains("duration_ms")) {
        result.duration = base::duration(command["duration_ms"].get<std::int64_t>());
    }
    result.command = command;
    return result;
}

} // namespace

std::optional<fault> parse_fault(std::string_view text, base::findings& found)
{
    const json command = json::parse(text, nullptr, false);
    if (!command.is_object()) {
        found.add("body", "must be a JSON object");
        return std::nullopt;
    }
    if (!command.contains("fault") || !command["fault"].is_string()) {
        found.add("body.fault", "must be the name of a fault");
        return std::nullopt;
    }
    const auto rule = rules().find(command["fault"].get<std::string>());
    if (rule == rules().end()) {
        found.add("body.fault", "unknown fault");
        return std::nullopt;
    }
    base::findings mistakes;
    check_keys(command, rule->second, mistakes);
    found.merge(mistakes);
    return mistakes.empty() ? std::optional(make_fault(command)) : std::nullopt;
}

} // namespace curranthoist::testing
