#pragma once

#include "curranthoist/base/findings.hpp"
#include "curranthoist/testing/fault.hpp"

#include <optional>
#include <string_view>

namespace curranthoist::testing {

// Reads a fault command:
//
//     {"fault": "straggle", "probability": 0.05, "ms": 300, "duration_ms": 5000}
//
// Faults of single requests take `probability`, `count` and `duration_ms`: straggle
// (ms: the run takes longer), late (ms: the answer is sent later, the slot is free),
// truncate, crossed (ms: longest wait for a second answer, 500 by default), repeat,
// wrong_snapshot, hang, refuse (new connections). States take `duration_ms`: drain,
// lie_status (override: fields to replace; freeze: keep the present values). Commands
// that act once: stall_connections, turn_cold, vanish_snapshot (version), add_snapshot
// (version, shard, shards), clear (name: only that fault).
//
// Every mistake is added to `found`; the result is empty then.
std::optional<fault> parse_fault(std::string_view text, base::findings& found);

} // namespace curranthoist::testing
