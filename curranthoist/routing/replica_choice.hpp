#pragma once

#include "curranthoist/base/random_source.hpp"
#include "curranthoist/routing/load_table.hpp"
#include "curranthoist/routing/replica.hpp"

#include <concepts>
#include <cstddef>
#include <span>

namespace curranthoist::routing {

// A replica that may be chosen, with its load.
struct candidate
{
    const replica* where = nullptr;
    target_load load;
};

// Picks the index of one of the candidates, of which there is at least one.
template <class Policy>
concept replica_choice = requires(Policy policy, std::span<const candidate> candidates,
                                  base::instant now, base::random_source& random)
{
    {
        policy.choose(candidates, now, random)
        } -> std::same_as<std::size_t>;
};

// The chosen policy: of two random replicas the one with the lower load times service
// time. The longest unused one goes first if it got nothing for `probe_interval`, because
// only results warm a cold replica or show that a slow one has recovered: with ten VMs
// that offers it the first pace of 5/s.
class power_of_two
{
public:
    static constexpr base::duration probe_interval{2000};

    std::size_t choose(std::span<const candidate> candidates, base::instant now,
                       base::random_source& random) const;
};

// Baseline.
class random_replica
{
public:
    std::size_t choose(std::span<const candidate> candidates, base::instant now,
                       base::random_source& random) const;
};

// Baseline: counts through the replicas, over all shards together.
class round_robin
{
public:
    std::size_t choose(std::span<const candidate> candidates, base::instant now,
                       base::random_source& random);

private:
    std::size_t next_ = 0;
};

} // namespace curranthoist::routing
