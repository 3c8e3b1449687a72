#pragma once

#include <cstddef>

namespace curranthoist::forwarding {

// Decides whether a query that has its least share of shards ends before its soft
// deadline.
//
// Load pattern: most queries wait for one or two targets that are paused or overloaded.
// Their parts rarely come before the answer must leave, and an answer that waits until
// then is late as soon as this process is busy. A late answer loses most of its worth,
// one part of twenty a tenth.
class query_end
{
public:
    explicit query_end(std::size_t answered_shards)
        : answered_(static_cast<double>(answered_shards))
    {}

    // Adds a shard that is still out, with the chance that it comes before the answer
    // must leave.
    void add_shard(double chance) { expected_shards_ += chance; }
    [[nodiscard]] bool ends_now() const
    {
        // An answer is worth the square of the share of its shards.
        const double gain_per_shard = (2 * answered_ + 1) / (answered_ * answered_);
        return answered_ > 0 && expected_shards_ * gain_per_shard < min_gain;
    }

private:
    // Part of the answer's worth that is worth the wait.
    static constexpr double min_gain = 0.01;

    double answered_;
    double expected_shards_ = 0;
};

} // namespace curranthoist::forwarding
