#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/base/identifiers.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace curranthoist::deployment {

// How often the targets may run one attempt of a caller.
enum class repeat_rule : std::uint8_t
{
    // It may run more than once, so retries and hedges are allowed.
    repeatable,
    // It may run once; it is sent again only if it certainly has not run.
    at_most_once,
};

// A service of a route and its share of the route's requests.
struct weighted_service
{
    base::service_id service;
    // Relative to the sum of the route's weights.
    double weight = 1.0;

    bool operator==(const weighted_service&) const = default;
};

// Where requests of one host and path prefix go. Either `services` or `shards` is set.
struct route
{
    std::string name;
    std::string host;
    // Begins and ends with '/'.
    std::string path_prefix;
    repeat_rule repeat = repeat_rule::at_most_once;
    // The longest time that a caller is kept waiting.
    base::duration time_limit;
    // A response within this time earns full credit.
    base::duration objective;
    // 0 is the most urgent.
    unsigned priority = 0;
    // Targets that one attempt of a caller may be sent to; for each shard on its own.
    unsigned max_attempts = 1;
    std::vector<weighted_service> services;
    // The services whose targets each hold one shard of the index.
    std::vector<base::service_id> shards;
    // Records in a gathered response.
    std::size_t top_records = 0;
    // Least share of the shards, 0 to 1, that a gathered response needs.
    double least_share = 1.0;

    [[nodiscard]] bool gathers() const { return !shards.empty(); }
    bool operator==(const route&) const = default;
};

} // namespace curranthoist::deployment
