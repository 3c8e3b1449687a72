#pragma once

#include "curranthoist/base/findings.hpp"
#include "curranthoist/control/intent.hpp"

#include <string>
#include <vector>

namespace curranthoist::control {

struct configuration;

// Limits of what operators can declare.
struct intent_limits
{
    static constexpr std::size_t max_name_bytes = 100;
    static constexpr std::size_t max_targets = 10'000;
    static constexpr std::size_t max_vms = 2'000;
    static constexpr std::uint32_t max_slots = 1'000;
    // min(connections / 3, ...) must leave an owner at least one connection.
    static constexpr std::uint32_t min_connections = 3;
    static constexpr std::uint32_t max_connections = 100'000;
    static constexpr std::uint64_t max_deadline_ms = 3'500;
    static constexpr std::uint64_t max_body_bytes = 4ULL * 1024 * 1024;
};

// Why the intent can't be applied to this configuration, each finding with its place in
// the intent; empty if it can. It looks at the configuration only, so it gives the same
// result on every member.
base::findings check_intent(const configuration& current, const intent& wanted);

// Applies an intent that check_intent accepts, and returns what changed, one sentence
// each. It does not touch the configuration's revision.
std::vector<std::string> apply_intent(configuration& current, const intent& wanted);

} // namespace curranthoist::control
