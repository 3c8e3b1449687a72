#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/testing/target_settings.hpp"

#include <algorithm>
#include <cstddef>

namespace curranthoist::testing {

// What a cold target bears: a few requests at once, slowly. More than that is shed and
// makes the service time collapse for a while.
class cold_state
{
public:
    // How long one overload keeps the service time collapsed.
    static constexpr base::duration collapse_time{1000};

    explicit cold_state(const target_settings& settings)
        : time_(settings.cold_time)
        , slots_(settings.cold_slots)
        , slowdown_(settings.cold_slowdown)
    {}

    void turn_cold(base::instant now) { cold_until_ = now + time_; }
    [[nodiscard]] bool is_cold(base::instant now) const
    {
        return now < cold_until_ || now < collapsed_until_;
    }
    // Whether one more request can run beside `running` ones. A refusal collapses the
    // target.
    bool admit(base::instant now, std::size_t running)
    {
        if (!is_cold(now) || running < slots_) {
            return true;
        }
        collapsed_until_ = now + collapse_time;
        return false;
    }
    // Factor on the service time.
    [[nodiscard]] double slowdown(base::instant now) const
    {
        return (is_cold(now) ? slowdown_ : 1.0) *
               (now < collapsed_until_ ? slowdown_ : 1.0);
    }

private:
    base::duration time_;
    std::size_t slots_;
    double slowdown_;
    base::instant cold_until_;
    base::instant collapsed_until_;
};

} // namespace curranthoist::testing
