#include "curranthoist/routing/replica_choice.hpp"

#include <algorithm>

namespace curranthoist::routing {
namespace {

// Estimates the time until a new request completes: the queue length including the new
// request, times the service time. A cold target counts as slower by a fixed factor.
std::int64_t expected_wait(const candidate& option)
{
    // A cold target runs one request at a time at a limited rate.
    constexpr std::int64_t cold_factor = 4;
    // The load values come from other VMs. These bounds keep the product from
    // overflowing.
    constexpr std::int64_t max_service_time_ms = 600'000;
    constexpr std::uint64_t max_queue_length = 1'000'000;
    const std::int64_t service_time_ms = std::clamp<std::int64_t>(
        option.load.service_time.count(), 1, max_service_time_ms);
    const auto queue_length =
        static_cast<std::int64_t>(std::min(option.load.total() + 1, max_queue_length));
    return queue_length * service_time_ms * (option.where->cold ? cold_factor : 1);
}

} // namespace

std::size_t power_of_two::choose(std::span<const candidate> candidates, base::instant now,
                                 base::random_source& random) const
{
    const auto least_recently_used = std::min_element(
        candidates.begin(), candidates.end(), [](const candidate& a, const candidate& b) {
            return a.load.last_sent < b.load.last_sent;
        });
    const base::duration vm_probe_interval =
        probe_interval * static_cast<std::int64_t>(vm_count_);
    if (least_recently_used->load.outstanding == 0 &&
        now - least_recently_used->load.last_sent >= vm_probe_interval) {
        return static_cast<std::size_t>(least_recently_used - candidates.begin());
    }
    const std::size_t first = random.below(candidates.size());
    if (candidates.size() == 1) {
        return first;
    }
    const std::size_t step = 1 + random.below(candidates.size() - 1);
    const std::size_t second = (first + step) % candidates.size();
    return expected_wait(candidates[second]) < expected_wait(candidates[first]) ? second
                                                                                : first;
}

std::size_t random_replica::choose(std::span<const candidate> candidates, base::instant,
                                   base::random_source& random) const
{
    return random.below(candidates.size());
}

std::size_t round_robin::choose(std::span<const candidate> candidates, base::instant,
                                base::random_source&)
{
    return next_++ % candidates.size();
}

} // namespace curranthoist::routing
