#pragma once

#include "curranthoist/testing/soak/observation.hpp"

#include <string>
#include <vector>

namespace curranthoist::testing {

// The promises, each checked over a whole soak. Every function returns one sentence for
// each broken one.
namespace soak_checks {

// A response is another request's, names a shard twice or one that did not answer, counts
// its shards wrongly, or does not hold the greatest records in order.
std::vector<std::string> wrong_responses(const soak_observation& seen);
// An order ran twice.
std::vector<std::string> repeated_orders(const soak_observation& seen);
// An order was refused as not run and ran.
std::vector<std::string> untrue_refusals(const soak_observation& seen);
// An attempt reached more targets of a service than its route allows.
std::vector<std::string> too_many_sends(const soak_observation& seen);
// A request was held half a second beyond its route's time limit by an undisturbed VM.
std::vector<std::string> late_answers(const soak_observation& seen);
// A cold target got more requests in a second than it bears.
std::vector<std::string> cold_floods(const soak_observation& seen);
// A target that must get nothing got a request.
std::vector<std::string> barred_runs(const soak_observation& seen);
// A reading is older than what was acknowledged before, or an invalid configuration was
// acknowledged.
std::vector<std::string> configuration_faults(const soak_observation& seen);
// A planned stop cut a request.
std::vector<std::string> cut_requests(const soak_observation& seen);
// A process ended by itself.
std::vector<std::string> own_ends(const soak_observation& seen);

// All of them.
std::vector<std::string> all(const soak_observation& seen);

} // namespace soak_checks

} // namespace curranthoist::testing
