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
    std::string inner(labels);
    inner.append(labels.empty() ? "" : ",");
    std::string braces;
    if (!labels.empty()) {
        braces.append("{").append(labels).append("}");
    }
    std::string text;
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < counts_.size(); ++i) {
        total += counts_.at(i);
        const std::string bound =
            i < bounds.size() ? std::to_string(bounds.at(i)) : "+Inf";
        text.append(name).append("_bucket{").append(inner);
        text.append("le=\"").append(bound).append("\"} ");
        text.append(std::to_string(total)).append("\n");
    }
    text.append(name).append("_sum").append(braces).append(" ");
    text.append(std::to_string(sum_ms_)).append("\n");
    text.append(name).append("_count").append(braces).append(" ");
    text.append(std::to_string(total)).append("\n");
    return text;
}

} // namespace curranthoist::base
