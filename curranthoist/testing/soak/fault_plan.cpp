#include "curranthoist/testing/soak/fault_plan.hpp"

#include "curranthoist/base/random_source.hpp"

#include <array>

namespace curranthoist::testing {

namespace {

// A lost disk is repaired in this time, its process's restart included.
constexpr base::duration repair_time{7000};

constexpr std::array<const char*, soak_faults> names{"kill_core",
                                                     "kill_front",
                                                     "kill_all_cores",
                                                     "pause_core",
                                                     "pause_front",
                                                     "stop_core",
                                                     "stop_front",
                                                     "reload",
                                                     "refuse_writes",
                                                     "wipe_disk",
                                                     "cut_links",
                                                     "cut_one_way",
                                                     "silence_links",
                                                     "reset_links",
                                                     "delay_links",
                                                     "targets_hang",
                                                     "targets_fail",
                                                     "targets_shed",
                                                     "targets_lose_answers",
                                                     "target_links_silent",
                                                     "target_links_reset",
                                                     "target_turns_cold"};

bool is_of_targets(soak_fault fault)
{
    return fault >= soak_fault::targets_hang;
}

} // namespace

const char* soak_fault_name(soak_fault fault)
{
    return names.at(static_cast<std::size_t>(fault));
}

std::vector<planned_fault> make_fault_plan(std::uint64_t seed, base::duration length,
                                           std::size_t vms, std::size_t targets)
{
    constexpr std::int64_t most_gap_ms = 900;
    constexpr std::int64_t least_lasts_ms = 100;
    constexpr std::int64_t most_lasts_ms = 3500;
    base::random_source random(seed);
    std::vector<planned_fault> plan;
    base::duration at(random.between(0, most_gap_ms));
    base::duration next_wipe;
    while (at < length) {
        planned_fault one;
        one.fault = static_cast<soak_fault>(random.below(soak_faults));
        one.where = random.below(is_of_targets(one.fault) ? targets : vms);
        one.at = at;
        one.lasts = base::duration(random.between(least_lasts_ms, most_lasts_ms));
        at = at + base::duration(random.between(0, most_gap_ms));
        if (one.fault == soak_fault::wipe_disk) {
            if (one.at < next_wipe) {
                continue;
            }
            next_wipe = one.at + one.lasts + repair_time;
        }
        plan.push_back(one);
    }
    return plan;
}

} // namespace curranthoist::testing
