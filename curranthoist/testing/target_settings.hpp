#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/testing/held_snapshot.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace curranthoist::testing {

// How the service time varies around its mean.
enum class time_shape
{
    fixed,
    exponential,
    log_normal,
};

// What a stand-in target is told on its command line.
struct target_settings
{
    base::endpoint listen;
    base::endpoint admin_listen;
    std::string id;
    std::string service;
    std::size_t slots = 2;
    std::size_t connections = 25;
    double connect_cost_ms = 0;
    double service_ms = 5;
    time_shape shape = time_shape::fixed;
    std::vector<held_snapshot> snapshots;
    std::uint64_t seed = 1;
    // After a start or a turn_cold command the target is cold for this time. 0: never.
    base::duration cold_time{0};
    std::size_t cold_slots = 1;
    // Factor on the service time while cold, and once more while collapsed.
    double cold_slowdown = 4;
    // Part runs that the journal keeps one by one; it keeps all order runs.
    std::size_t journal_parts = 10'000;
};

} // namespace curranthoist::testing
