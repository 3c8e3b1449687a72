#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/base/endpoint.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace curranthoist::testing {

// When the load generator sends: at random with a mean rate, or evenly spaced.
enum class arrival_pattern
{
    poisson,
    fixed,
};

// What the load generator is told on its command line.
struct load_settings
{
    std::vector<base::endpoint> entries;
    std::vector<std::string> query_services;
    std::vector<std::string> order_services;
    // Requests per second, queries and orders together.
    double rate = 100;
    // Share of orders, if there are services of both kinds.
    double order_fraction = 0.05;
    arrival_pattern arrivals = arrival_pattern::poisson;
    // How long it sends. It then waits for the answers within their deadlines.
    base::duration duration{10'000};
    base::duration deadline{1000};
    // Bytes that are added to each request's body.
    std::size_t padding_bytes = 0;
    std::size_t connections_per_entry = 256;
    // How often /ready of each entry is asked, as the platform's load balancer does. An
    // entry that is not ready gets nothing while another is. 0: never asked.
    base::duration ready_interval{200};
    std::uint64_t seed = 1;
};

} // namespace curranthoist::testing
