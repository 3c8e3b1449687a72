#pragma once

#include "curranthoist/base/random_source.hpp"
#include "curranthoist/routing/load_table.hpp"
#include "curranthoist/routing/replica.hpp"

#include <concepts>
#include <cstddef>
#include <span>

namespace curranthoist::routing {

// A replica that may be chosen, with the load of its target.
struct candidate
{
    const replica* where = nullptr;
    target_load load;
};

// A policy whose choose() returns the index of one candidate. `candidates` is never
// empty.
template <class Policy>
concept replica_choice = requires(Policy policy, std::span<const candidate> candidates,
                                  base::instant now, base::random_source& random)
{
    {
        policy.choose(candidates, now, random)
        } -> std::same_as<std::size_t>;
};

// The production policy: chooses the one of two random replicas with the lower product of
// load and service time. The least recently used replica is chosen instead if it has no
// outstanding request and nothing was sent to it within probe_interval times the number
// of VMs, because only results warm a cold replica or show that a slow replica has
// recovered. All VMs together send it one such request per probe_interval, which is the
// rate that the warm-up of a cold target starts at.
class power_of_two
{
public:
    static constexpr base::duration probe_interval{200};

    // Sets the number of VMs that choose among the same replicas. A count of 0 is taken
    // as 1.
    void set_vm_count(std::size_t count) { vm_count_ = count == 0 ? 1 : count; }
    std::size_t choose(std::span<const candidate> candidates, base::instant now,
                       base::random_source& random) const;

private:
    std::size_t vm_count_ = 1;
};

// Baseline: chooses a replica uniformly at random.
class random_replica
{
public:
    std::size_t choose(std::span<const candidate> candidates, base::instant now,
                       base::random_source& random) const;
};

// Baseline: chooses the replicas in turn, with one counter for all shards.
class round_robin
{
public:
    std::size_t choose(std::span<const candidate> candidates, base::instant now,
                       base::random_source& random);

private:
    std::size_t next_ = 0;
};

} // namespace curranthoist::routing
