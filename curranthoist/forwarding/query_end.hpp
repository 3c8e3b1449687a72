#pragma once

#include <cstddef>

namespace curranthoist::forwarding {

// Decides whether a query that has its least share of shards ends before its soft
// deadline, by what it gains until some later time at which it could end as well.
//
// Load pattern: most queries wait for one or two targets that are paused or overloaded.
// Their parts rarely come before the answer must leave, and on a busy process an answer
// that waits until then is late. A late answer loses most of its worth, one part of
// twenty a tenth. A process that sends its answers in time loses nothing by the wait.
class query_end
{
public:
    // `late_now` is the chance that the answer is late if it leaves now.
    query_end(std::size_t answered_shards, double late_now)
        : answered_(static_cast<double>(answered_shards))
        , late_now_(late_now)
    {}

    // Returns true if it is worth waiting until a time before which `shards` more are
    // expected and at which the answer is late with the chance `late_then`.
    [[nodiscard]] bool is_worth(double shards, double late_then) const
    {
        if (answered_ <= 0) {
            return true;
        }
        // An answer is worth the square of the share of its shards.
        const double gain = shards * (2 * answered_ + 1) / (answered_ * answered_);
        return gain >= min_gain && (1 + gain) * (1 - late_then) >= 1 - late_now_;
    }

private:
    // A smaller part of the answer is worth no wait at all.
    static constexpr double min_gain = 0.0005;

    double answered_;
    double late_now_;
};

} // namespace curranthoist::forwarding
