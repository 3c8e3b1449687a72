#pragma once

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>

namespace curranthoist::admission {

// Limits that an owner observes at a target, derived from the target's declared limits.
struct owner_limits
{
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    // The number of requests that may wait for a slot.
    std::size_t queue = 0;
};

// Derives the owner's limits from the declared slots and connections of the target.
template <class Policy>
concept limit_policy = requires(const Policy& policy, std::uint32_t declared)
{
    {
        policy.limits(declared, declared)
        } -> std::same_as<owner_limits>;
};

// Default policy: an owner uses a third of the target's connections. Three successive
// owners then stay within the target's limit while dead connections of the earlier owners
// are still open.
struct owned_limits
{
    // 8 waiting requests per slot are more than can run before a deadline of 500 ms at
    // the service times of section 1. The bound limits memory and the cost of a pass over
    // the queue.
    static constexpr std::size_t queued_per_slot = 8;

    [[nodiscard]] owner_limits limits(std::uint32_t slots,
                                      std::uint32_t connections) const
    {
        return {std::max(1U, slots),
                std::max(1U, std::min(connections / 3, 2 * slots + 2)),
                queued_per_slot * std::max(1U, slots)};
    }
};

// Baseline policy without admission control: every request starts at once, as independent
// clients would send them.
struct no_admission
{
    static constexpr std::uint32_t unlimited = 1'000'000;

    [[nodiscard]] owner_limits limits(std::uint32_t, std::uint32_t) const
    {
        return {unlimited, unlimited, unlimited};
    }
};

} // namespace curranthoist::admission
