#include "curranthoist/base/latency_window.hpp"

#include <algorithm>

namespace curranthoist::base {

void latency_window::add(base::duration sample)
{
    samples_[next_] = sample;
    next_ = (next_ + 1) % capacity;
    size_ = std::min(size_ + 1, capacity);
}

std::optional<base::duration> latency_window::quantile(int percent) const
{
    constexpr std::size_t hundred = 100;
    if (size_ == 0) {
        return std::nullopt;
    }
    auto sorted = samples_;
    const std::size_t rank =
        (size_ * static_cast<std::size_t>(percent) + hundred - 1) / hundred;
    const auto at = sorted.begin() + static_cast<std::ptrdiff_t>(rank > 0 ? rank - 1 : 0);
    std::nth_element(sorted.begin(), at,
                     sorted.begin() + static_cast<std::ptrdiff_t>(size_));
    return *at;
}

double latency_window::share_above(base::duration limit) const
{
    if (size_ == 0) {
        return 0;
    }
    const auto above = std::count_if(
        samples_.begin(), samples_.begin() + static_cast<std::ptrdiff_t>(size_),
        [limit](base::duration one) { return one > limit; });
    return static_cast<double>(above) / static_cast<double>(size_);
}

void latency_window::clear()
{
    size_ = 0;
    next_ = 0;
}

} // namespace curranthoist::base
