#pragma once

#include "curranthoist/base/latency_tracker.hpp"
#include "curranthoist/base/random_source.hpp"
#include "curranthoist/routing/configured_choice.hpp"
#include "curranthoist/routing/hedge_budget.hpp"
#include "curranthoist/routing/hedging.hpp"
#include "curranthoist/routing/load_table.hpp"

#include <set>

namespace curranthoist::routing {

// The state that the queries of one service share at one entry VM. The context must
// outlive these queries.
template <replica_choice Choice = configured_choice, hedging Hedging = configured_hedging>
struct scatter_context
{
    explicit scatter_context(base::random_source& shared_random, Choice choice_rule = {},
                             Hedging hedging_rule = {})
        : random(shared_random)
        , choice(choice_rule)
        , hedge(hedging_rule)
    {}

    base::random_source& random;
    Choice choice;
    Hedging hedge;
    hedge_budget budget;
    base::latency_tracker latencies;
    load_table loads;
    // Owner VMs without a working peer connection. The shell keeps the set up to date. A
    // replica of such an owner is chosen only if no other replica is available.
    std::set<base::vm_id> disconnected_owners;
};

} // namespace curranthoist::routing
