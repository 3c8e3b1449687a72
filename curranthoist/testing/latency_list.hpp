#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace curranthoist::testing {

// Latencies in microseconds and their quantiles.
class latency_list
{
public:
    void add(std::int64_t microseconds)
    {
        values_.push_back(microseconds);
        sorted_ = false;
    }
    [[nodiscard]] std::size_t size() const { return values_.size(); }
    // The smallest value that at least that share of the values does not exceed; 0 if
    // there are none.
    [[nodiscard]] std::int64_t quantile(double share)
    {
        if (values_.empty()) {
            return 0;
        }
        if (!sorted_) {
            std::sort(values_.begin(), values_.end());
            sorted_ = true;
        }
        const auto rank = static_cast<std::size_t>(
            std::ceil(share * static_cast<double>(values_.size())));
        return values_[std::clamp<std::size_t>(rank, 1, values_.size()) - 1];
    }

private:
    std::vector<std::int64_t> values_;
    bool sorted_ = true;
};

} // namespace curranthoist::testing
