#pragma once

#include "curranthoist/base/duration.hpp"

#include <array>
#include <cstddef>

namespace curranthoist::forwarding {

// Distribution of the times after which the parts of a route's queries come. A part that
// is no longer waited for counts as still out at its age: without these, the
// distribution would hold only parts that came in time. Older samples lose weight.
class part_latencies
{
public:
    // Records a part that came.
    void add(base::duration latency);
    // Records a part that had not come at this age when the wait for it ended.
    void add_unfinished(base::duration age);
    // Returns the chance that a part which has been out for `age` comes within `time`;
    // 1 if too few parts have been out so long.
    [[nodiscard]] double chance(base::duration age, base::duration time) const;

private:
    // Bins grow with the latency: 1 ms wide at first, 3 ms at 100 ms. The last one
    // holds what takes longer than a minute.
    static constexpr std::size_t bin_count = 352;
    using bins = std::array<double, bin_count>;

    static std::size_t bin_of(base::duration latency);
    void count(bins& in, base::duration latency);
    void update();

    bins finished_{};
    bins unfinished_{};
    // The share of the parts that are still out before a bin, and the weight of the
    // samples that reached it.
    std::array<double, bin_count + 1> out_before_{};
    bins reached_{};
    double weight_ = 0;
    int since_update_ = 0;
};

} // namespace curranthoist::forwarding
