#pragma once

#include "curranthoist/base/instant.hpp"

#include <concepts>
#include <cstdint>

namespace curranthoist::admission {

// Limits the requests to a cold target until it is warm again. Rates are in requests per
// 1,000 s.
template <class Policy>
concept warmup_policy = requires(Policy policy, const Policy& const_policy,
                                 base::instant now, base::duration length,
                                 std::uint64_t rate, bool warm)
{
    // Marks the target as cold from `now` on and resets its rate to the initial one.
    policy.turn_cold(now);
    // Takes over the rate and the warm state that an earlier owner of the target reached.
    policy.restore(rate, warm);
    // A request starts at `now`.
    policy.on_start(now);
    // The target sent a response that was neither shed nor slow. The argument is the full
    // capacity of the target in requests per 1,000 s, which decides when the target is
    // warm.
    policy.on_fast_response(rate);
    // The target sent a slow response.
    policy.on_slow_response();
    // The target shed a request, or a request timed out.
    policy.on_overload();
    {
        const_policy.warm()
        } -> std::same_as<bool>;
    {
        const_policy.pace_milli_per_s()
        } -> std::same_as<std::uint64_t>;
    // The earliest time at which the next request may start.
    {
        const_policy.next_start()
        } -> std::same_as<base::instant>;
    // The time between the starts of two requests; 0 if there is no limit.
    {
        const_policy.interval()
        } -> std::same_as<base::duration>;
};

} // namespace curranthoist::admission
