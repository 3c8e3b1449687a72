#pragma once

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>

namespace curranthoist::admission {

// What an owner allows itself at a target with the given declared limits.
struct owner_limits
{
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    // Requests that wait for a slot.
    std::size_t queue = 0;
};

template <class Policy>
concept limit_policy = requires(const Policy& policy, std::uint32_t number)
{
    {
        policy.limits(number, number)
        } -> std::same_as<owner_limits>;
};

// The chosen policy: a third of the connections, so that three successive owners stay
// within the target's limit while dead connections of the earlier ones are still open.
struct owned_limits
{
    // 8 waiting requests a slot are more than a deadline of 500 ms leaves time for at the
    // service times of section 1; the bound caps memory and the cost of a pass.
    static constexpr std::size_t queued_per_slot = 8;

    [[nodiscard]] owner_limits limits(std::uint32_t slots,
                                      std::uint32_t connections) const
    {
        return {std::max(1U, slots),
                std::max(1U, std::min(connections / 3, 2 * slots + 2)),
                queued_per_slot * std::max(1U, slots)};
    }
};

// Baseline without admission: every request starts at once, as by independent clients.
struct no_admission
{
    static constexpr std::uint32_t unlimited = 1'000'000;

    [[nodiscard]] owner_limits limits(std::uint32_t, std::uint32_t) const
    {
        return {unlimited, unlimited, unlimited};
    }
};

} // namespace curranthoist::admission
