#pragma once

#include "curranthoist/base/duration.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace curranthoist::testing {

// One command of POST /fault.
struct fault
{
    std::string name;
    // Chance that it applies to one request.
    double probability = 1.0;
    // A delay, for the faults that have one.
    double ms = 0;
    // How often it applies, and for how long; unlimited if absent.
    std::optional<std::uint64_t> count = std::nullopt;
    std::optional<base::duration> duration = std::nullopt;
    // The whole command.
    nlohmann::json command = {};
};

} // namespace curranthoist::testing
