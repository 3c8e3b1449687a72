#pragma once

#include "curranthoist/base/duration.hpp"

#include <chrono>
#include <thread>

namespace curranthoist::testing {

// Polls the condition until it holds or the limit has passed; returns whether it holds.
template <class Condition>
bool wait_until(const Condition& holds, base::duration limit = base::duration(10'000))
{
    constexpr std::chrono::milliseconds poll_interval(5);
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(limit.count());
    while (!holds()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

} // namespace curranthoist::testing
