#include "curranthoist/base/latency_histogram.hpp"

#include <algorithm>

namespace curranthoist::base {

void latency_histogram::add(duration value)
{
    const auto* const bound =
        std::lower_bound(bounds.begin(), bounds.end(), value.count());
    ++counts_.at(static_cast<std::size_t>(bound - bounds.begin()));
    sum_ms_ += value.count();
}

std::string latency_histogram::prometheus_lines(std::string_view name,
                                                std::string_view labels) const
{
    const std::string base(name);
    const std::string inner = labels.empty() ? "" : std::string(labels) + ",";
    const std::string braces = labels.empty() ? "" : "{" + std::string(labels) + "}";
    std::string text;
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < counts_.size(); ++i) {
        total += counts_.at(i);
        const std::string bound =
            i < bounds.size() ? std::to_string(bounds.at(i)) : "+Inf";
        text += base + "_bucket{" + inner + "le=\"" + bound + "\"} " +
                std::to_string(total) + "\n";
    }
    text += base + "_sum" + braces + " " + std::to_string(sum_ms_) + "\n";
    text += base + "_count" + braces + " " + std::to_string(total) + "\n";
    return text;
}

} // namespace curranthoist::base
