#include "curranthoist/deployment/listing_change.hpp"

#include <algorithm>

namespace curranthoist::deployment {

namespace {

// The platform's list and its reader round times, so the end of a warm-up may differ by
// this much without a change. Users of a target add a longer margin to its warm-up.
constexpr base::duration warmup_end_tolerance{100};

// The remaining time of a warm-up `elapsed` after the list reported it as in `before`.
base::duration expected_warmup(const listed_target& before, base::duration elapsed)
{
    return std::max(base::duration(), before.remaining_cold_time - elapsed);
}

} // namespace

listing_change diff_listings(std::span<const listed_target> before,
                             std::span<listed_target> after, base::duration elapsed)
{
    listing_change change;
    change.complete = false;
    auto previous = before.begin();
    for (listed_target& target : after) {
        while (previous != before.end() && previous->id < target.id) {
            change.removed.push_back(previous->id);
            ++previous;
        }
        if (previous == before.end() || previous->id != target.id) {
            change.targets.push_back(target);
            continue;
        }
        const base::duration expected = expected_warmup(*previous, elapsed);
        if (previous->same_run(target) &&
            target.remaining_cold_time <= expected + warmup_end_tolerance) {
            target.remaining_cold_time = expected;
        }
        else {
            change.targets.push_back(target);
        }
        ++previous;
    }
    for (; previous != before.end(); ++previous) {
        change.removed.push_back(previous->id);
    }
    return change;
}

} // namespace curranthoist::deployment
