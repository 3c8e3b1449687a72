#pragma once

#include "curranthoist/base/instant.hpp"

namespace curranthoist::base {

// A clock that moves only when a test advances it.
class manual_clock
{
public:
    explicit manual_clock(instant start = instant(1000))
        : now_(start)
    {}

    [[nodiscard]] instant now() const { return now_; }
    // Moves the clock forward by `by`, which must not be negative.
    void advance(duration by) { now_ = now_ + by; }

private:
    instant now_;
};

} // namespace curranthoist::base
