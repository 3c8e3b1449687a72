#pragma once

#include "curranthoist/base/instant.hpp"

#include <concepts>
#include <cstdint>

namespace curranthoist::admission {

// How a cold target gets its work back.
template <class Policy>
concept return_policy = requires(Policy policy, const Policy& constant, base::instant now,
                                 base::duration length, std::uint64_t pace, bool flag)
{
    // The target is cold from `now` on, at the first pace.
    policy.turn_cold(now);
    // Takes over what an earlier owner proved.
    policy.inherit(pace, flag);
    policy.on_start(now);
    // A response that was neither shed nor slow; the target's full capacity (requests per
    // 1,000 s) decides when it is warm.
    policy.on_good(pace);
    // A response that was slow.
    policy.on_slow();
    // A shed or a timeout.
    policy.on_overload();
    {
        constant.warm()
        } -> std::same_as<bool>;
    {
        constant.pace_milli_per_s()
        } -> std::same_as<std::uint64_t>;
    // The earliest time of the next start.
    {
        constant.next_start()
        } -> std::same_as<base::instant>;
    // Time between two starts; 0 if there is no limit.
    {
        constant.interval()
        } -> std::same_as<base::duration>;
};

} // namespace curranthoist::admission
