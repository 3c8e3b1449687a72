#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/base/identifiers.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace curranthoist::deployment {

// How many times the targets may run one attempt of a caller.
enum class repeat_rule : std::uint8_t
{
    // The attempt may run more than once, so retries and hedges are allowed.
    repeatable,
    // The attempt may run once; it is sent again only if it is certain that it has not
    // run.
    at_most_once,
};

// A service of a route and its share of the route's requests. The share is `weight`
// divided by the sum of the weights of the route.
struct weighted_service
{
    base::service_id service;
    double weight = 1.0;

    bool operator==(const weighted_service&) const = default;
};

// The destination and the rules of requests with one host and path prefix. Either
// `services` or `shards` is set.
struct route
{
    std::string name;
    std::string host;
    // Begins and ends with '/'.
    std::string path_prefix;
    repeat_rule repeat = repeat_rule::at_most_once;
    // The longest time that a caller waits for its response.
    base::duration time_limit;
    // The latency objective: a response within this time earns full credit.
    base::duration objective;
    // 0 is the highest priority.
    unsigned priority = 0;
    // The maximum number of targets that one attempt of a caller is sent to. For a route
    // with shards the limit applies to each shard separately.
    unsigned max_attempts = 1;
    std::vector<weighted_service> services;
    // The services of the shards of an index: the targets of each hold one shard.
    std::vector<base::service_id> shards;
    // The number of records in a gathered response.
    std::size_t top_records = 0;
    // The minimum share of the shards, 0 to 1, that a gathered response must contain.
    double min_share = 1.0;
    // Its requests need no key, also if there are teams.
    bool is_public = false;

    // True if a response is gathered from the shards of an index.
    [[nodiscard]] bool gathers() const { return !shards.empty(); }
    // The sends that each request needs at least.
    [[nodiscard]] std::size_t send_count() const { return gathers() ? shards.size() : 1; }
    bool operator==(const route&) const = default;
};

} // namespace curranthoist::deployment
