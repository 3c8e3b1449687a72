#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/routing/target_fact.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace curranthoist::entry {

// What a target says about itself. It lags and may mislead.
struct status_report
{
    base::boot_id boot;
    bool draining = false;
    std::vector<routing::held_snapshot> snapshots;
};

// Reads the body of GET /v1/status; nothing if it isn't JSON of the expected form.
std::optional<status_report> parse_status(std::string_view body);

} // namespace curranthoist::entry
