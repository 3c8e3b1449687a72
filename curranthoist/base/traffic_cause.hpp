#pragma once

#include <cstddef>
#include <cstdint>

namespace curranthoist::base {

// What bytes between processes are for.
enum class traffic_cause : std::uint8_t
{
    // Requests to targets, their health checks and their answers.
    targets,
    // Parts of queries that one front process gathers for another.
    gather,
    // What front processes report to the core, and the answers.
    reports,
    // The platform's list.
    lists,
    // Configurations and evacuated zones.
    states,
    // The replicated log.
    log,
};
constexpr std::size_t traffic_cause_count = 6;

[[nodiscard]] constexpr const char* traffic_cause_name(traffic_cause cause)
{
    switch (cause) {
    case traffic_cause::targets:
        return "targets";
    case traffic_cause::gather:
        return "gather";
    case traffic_cause::reports:
        return "reports";
    case traffic_cause::lists:
        return "lists";
    case traffic_cause::states:
        return "states";
    case traffic_cause::log:
        return "log";
    }
    return "";
}

} // namespace curranthoist::base
