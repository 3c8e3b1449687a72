#include "curranthoist/entry/status_report.hpp"

#include "curranthoist/base/parse_json.hpp"

#include <nlohmann/json.hpp>

#include <limits>

namespace curranthoist::entry {

namespace {

using nlohmann::json;

// More versions than a target can hold; a longer list is damaged data.
constexpr std::size_t max_snapshots = 64;

std::optional<routing::held_snapshot> parse_snapshot(const json& value)
{
    for (const char* key : {"version", "shard", "shards"}) {
        if (!value.is_object() || !value.contains(key) ||
            !value[key].is_number_unsigned()) {
            return std::nullopt;
        }
    }
    routing::held_snapshot held;
    // A larger number would be cut to 32 bits, and a map that is too small would
    // overstate the coverage.
    if (value["shards"].get<std::uint64_t>() >
        std::numeric_limits<std::uint32_t>::max()) {
        return std::nullopt;
    }
    held.version = base::snapshot_version(value["version"].get<std::uint64_t>());
    held.shard = base::shard_number(value["shard"].get<std::uint64_t>());
    held.shards = value["shards"].get<std::uint32_t>();
    return held.shard.value() < held.shards ? std::optional(held) : std::nullopt;
}

} // namespace

std::optional<status_report> parse_status(std::string_view body)
{
    const json value = base::parse_json(body);
    if (!value.is_object() || !value.contains("boot_id") || !value.contains("draining") ||
        !value["boot_id"].is_string() || !value["draining"].is_boolean()) {
        return std::nullopt;
    }
    status_report report;
    report.boot = base::boot_id(value["boot_id"].get<std::string>());
    report.draining = value["draining"].get<bool>();
    const json list = value.value("snapshots", json::array());
    if (!list.is_array() || list.size() > max_snapshots) {
        return std::nullopt;
    }
    for (const json& one : list) {
        const std::optional<routing::held_snapshot> held = parse_snapshot(one);
        if (!held) {
            return std::nullopt;
        }
        report.snapshots.push_back(*held);
    }
    return report;
}

} // namespace curranthoist::entry
