#include "curranthoist/http/internal/connection_load.hpp"

#include <algorithm>

namespace curranthoist::http::internal {

namespace {

using namespace base::literals;

// A caller that reads takes something of its response within this time.
constexpr base::duration max_unread_time = 500_ms;
// Keeps the rate of a body that has just begun from depending on single milliseconds.
constexpr base::duration min_receiving_time = 50_ms;

double rate_of(const connection_load& load, base::instant now)
{
    const base::duration took = std::max(now - load.began, min_receiving_time);
    return static_cast<double>(load.bytes) / static_cast<double>(took.count());
}

// Of two connections in the same state, whether the first makes room before the second.
bool goes_before(const connection_load& a, const connection_load& b, base::instant now)
{
    return a.state == connection_state::receiving ? rate_of(a, now) < rate_of(b, now)
                                                  : a.last_progress < b.last_progress;
}

bool may_close(const connection_load& load, shortage what, base::instant now)
{
    switch (load.state) {
    case connection_state::idle:
        return what == shortage::connections;
    case connection_state::receiving:
        return what != shortage::response_memory;
    case connection_state::running:
        return false;
    case connection_state::sending:
        return what != shortage::request_memory &&
               now - load.last_progress >= max_unread_time;
    }
    return false;
}

} // namespace

std::optional<std::size_t> connection_to_close(std::span<const connection_load> loads,
                                               shortage what, base::instant now)
{
    std::optional<std::size_t> chosen;
    for (std::size_t i = 0; i < loads.size(); ++i) {
        const connection_load& one = loads[i];
        if (!may_close(one, what, now)) {
            continue;
        }
        if (!chosen || one.state < loads[*chosen].state ||
            (one.state == loads[*chosen].state &&
             goes_before(one, loads[*chosen], now))) {
            chosen = i;
        }
    }
    return chosen;
}

} // namespace curranthoist::http::internal
