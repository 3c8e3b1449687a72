#include "curranthoist/wire/internal/peer_load.hpp"

#include <algorithm>

namespace curranthoist::wire::internal {

namespace {

using namespace base::literals;

// Processes that are in use send a message within this time.
constexpr base::duration max_silence = 5000_ms;
// A process that reads or sends a frame moves a byte of it within this time.
constexpr base::duration max_stall = 500_ms;
// Keeps the rate of a frame that has just begun from depending on single milliseconds.
constexpr base::duration min_receiving_time = 50_ms;

double rate_of(const peer_load& load, base::instant now)
{
    const base::duration took = std::max(now - load.frame_began, min_receiving_time);
    return static_cast<double>(load.arrived_bytes) / static_cast<double>(took.count());
}

// The index of the candidate before which no other goes.
template <class Candidate, class Before>
std::optional<std::size_t> first_of(std::span<const peer_load> loads,
                                    Candidate is_candidate, Before goes_before)
{
    std::optional<std::size_t> chosen;
    for (std::size_t i = 0; i < loads.size(); ++i) {
        if (is_candidate(loads[i]) &&
            (!chosen || goes_before(loads[i], loads[*chosen]))) {
            chosen = i;
        }
    }
    return chosen;
}

} // namespace

std::optional<std::size_t> peer_to_close_for_connection(std::span<const peer_load> loads,
                                                        base::instant now)
{
    const auto unknown = first_of(
        loads, [](const peer_load& one) { return !one.greeted; },
        [](const peer_load& a, const peer_load& b) { return a.opened < b.opened; });
    if (unknown) {
        return unknown;
    }
    return first_of(
        loads,
        [now](const peer_load& one) { return now - one.last_message >= max_silence; },
        [](const peer_load& a, const peer_load& b) {
            return a.last_message < b.last_message;
        });
}

std::optional<std::size_t> peer_to_close_for_memory(std::span<const peer_load> loads,
                                                    base::instant now)
{
    const auto unknown = first_of(
        loads, [](const peer_load& one) { return !one.greeted && one.held_bytes > 0; },
        [](const peer_load& a, const peer_load& b) {
            return a.held_bytes > b.held_bytes;
        });
    if (unknown) {
        return unknown;
    }
    const auto stalled = first_of(
        loads,
        [now](const peer_load& one) {
            return one.held_bytes > 0 && now - one.last_progress >= max_stall;
        },
        [](const peer_load& a, const peer_load& b) {
            return a.last_progress < b.last_progress;
        });
    if (stalled) {
        return stalled;
    }
    return first_of(
        loads,
        [](const peer_load& one) { return one.held_bytes > 0 && one.arrived_bytes > 0; },
        [now](const peer_load& a, const peer_load& b) {
            return rate_of(a, now) < rate_of(b, now);
        });
}

} // namespace curranthoist::wire::internal
