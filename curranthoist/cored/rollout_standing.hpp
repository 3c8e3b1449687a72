#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/cored/rollout_judge.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace curranthoist::cored {

// What the leader knows of a running roll-out, for operators.
struct rollout_standing
{
    std::string service;
    std::string target_version;
    std::string base_version;
    // The part of the service's requests that the ordered version may get.
    double share = 0.0;
    // From 1; `plan` has the share of each step.
    std::size_t step = 1;
    std::span<const double> plan = {};
    rollout_judge::counts ordered = {};
    rollout_judge::counts old = {};
    // At or above `roll_back_bound` the version is rolled back; at or below
    // `accept_bound` it has proved good enough for the last steps.
    double evidence = 0.0;
    double roll_back_bound = 0.0;
    double accept_bound = 0.0;
    // Until the deadline; below 0 after it.
    base::duration remaining = {};
    // Requests that wait for an answer of the old version.
    std::uint64_t open_at_old = 0;
};

} // namespace curranthoist::cored
