#include "curranthoist/forwarding/return_schedule.hpp"

#include <algorithm>
#include <cmath>

namespace curranthoist::forwarding {

namespace {

using namespace base::literals;

// A shortage that has just begun is often over after one lost connection or a new list.
constexpr base::duration min_pause = 50_ms;
constexpr std::int64_t time_left_divisor = 3;
// Longer intervals between served requests are shortages, or times without callers.
constexpr base::duration max_interval = 1_s;
constexpr double interval_weight = 0.1;
// A shortage is over if nobody was rejected for this long, or that many requests in a
// row were served.
constexpr base::duration shortage_end = 2_s;
constexpr std::size_t served_after_shortage = 5;

} // namespace

void return_schedule::on_served(const base::service_id& service, base::instant now)
{
    service_state& state = services_[service];
    const base::duration interval = now - state.last_served_at;
    if (interval <= max_interval) {
        const auto sample = static_cast<double>(interval.count());
        state.served_interval_ms =
            state.served_interval_ms == 0
                ? sample
                : state.served_interval_ms +
                      interval_weight * (sample - state.served_interval_ms);
    }
    state.last_served_at = now;
    if (++state.served_since >= served_after_shortage) {
        state.shortage_began_at.reset();
    }
}

base::duration return_schedule::reserve(const base::service_id& service,
                                        const rejection& caller, base::instant now)
{
    service_state& state = services_[service];
    if (!state.shortage_began_at || now - state.last_rejected_at > shortage_end) {
        state.shortage_began_at = now;
    }
    state.last_rejected_at = now;
    state.served_since = 0;
    state.places.erase(state.places.begin(), state.places.lower_bound(now));
    const base::duration age = now - *state.shortage_began_at;
    const base::instant latest =
        now + std::max(min_pause, caller.time_left / time_left_divisor);
    const standing rank(caller.priority, caller.above_share);
    const base::instant place = std::min(
        latest,
        free_place(state, rank, now + std::max({min_pause, caller.known_pause, age})));
    state.places.emplace(place, rank);
    return std::max(place - now, caller.known_pause);
}

base::instant return_schedule::free_place(const service_state& state, standing caller,
                                          base::instant earliest)
{
    const base::duration interval(
        static_cast<std::int64_t>(std::lround(state.served_interval_ms)));
    base::instant result = earliest;
    for (auto one = state.places.upper_bound(earliest - interval);
         one != state.places.end() && one->first < result + interval; ++one) {
        if (one->second <= caller) {
            result = std::max(result, one->first + interval);
        }
    }
    return result;
}

} // namespace curranthoist::forwarding
