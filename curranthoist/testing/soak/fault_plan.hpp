#pragma once

#include "curranthoist/base/duration.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace curranthoist::testing {

// What a soak does to the deployment.
enum class soak_fault : std::uint8_t
{
    kill_core,
    kill_front,
    kill_all_cores,
    pause_core,
    pause_front,
    stop_core,
    stop_front,
    reload,
    // Its disk refuses writes, and takes them again after the restart.
    refuse_writes,
    // Its core process is killed and loses its disk.
    wipe_disk,
    cut_links,
    cut_one_way,
    silence_links,
    reset_links,
    delay_links,
    targets_hang,
    targets_fail,
    targets_shed,
    targets_lose_answers,
    target_links_silent,
    target_links_reset,
    target_turns_cold,
};

constexpr std::size_t soak_faults = 22;

const char* soak_fault_name(soak_fault fault);

// One fault: when it begins, which VM or target it meets, and how long it lasts.
struct planned_fault
{
    soak_fault fault = soak_fault::kill_core;
    std::size_t where = 0;
    base::duration at;
    base::duration lasts;
};

// The faults of one seed in the order of time. They overlap and come in series. Only one
// disk is lost at a time, with enough time for its repair before the next.
std::vector<planned_fault> make_fault_plan(std::uint64_t seed, base::duration length,
                                           std::size_t vms, std::size_t targets);

} // namespace curranthoist::testing
