#include "curranthoist/forwarding/zone_answer_counts.hpp"

#include <algorithm>
#include <cstdint>

namespace curranthoist::forwarding {

void zone_answer_counts::add(const base::zone_id& zone, response_kind kind,
                             base::duration latency, base::duration expected_latency)
{
    if (kind == response_kind::withdrawn) {
        return;
    }
    deployment::zone_answers& count = counts_[zone];
    const bool is_failure =
        kind != response_kind::success && kind != response_kind::cancelled;
    count.successes += kind == response_kind::success ? 1 : 0;
    count.time_ms += static_cast<std::uint64_t>(
        std::max(latency, is_failure ? expected_latency : base::duration()).count());
}

std::vector<deployment::zone_answers> zone_answer_counts::counts() const
{
    std::vector<deployment::zone_answers> result;
    result.reserve(counts_.size());
    for (const auto& [zone, count] : counts_) {
        result.push_back(count);
        result.back().zone = zone;
    }
    return result;
}

} // namespace curranthoist::forwarding
