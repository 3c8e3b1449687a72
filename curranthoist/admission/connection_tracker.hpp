#pragma once

#include "curranthoist/base/instant.hpp"

#include <cstdint>
#include <deque>

namespace curranthoist::admission {

// Counts the connections from this owner that the target may regard as open: open
// connections, connections being opened and, for 60 s, abandoned connections. An
// abandoned connection was closed because it was unresponsive, and the target may not
// have received the close.
class connection_tracker
{
public:
    static constexpr base::duration unresponsive_connection_retention{60'000};

    // A call requests a new connection. `replaces_idle` is true if an idle connection is
    // closed for it.
    void on_opening(bool replaces_idle);
    // The connection request ended, with or without an open connection. `replaces_idle`
    // is the value passed to on_opening().
    void on_opening_ended(bool replaces_idle);
    // Sets the number of sockets that the shell has open. The number is absolute, so that
    // a lost report can't make the count wrong permanently.
    void set_open(std::uint32_t open) { open_ = open; }
    // An unresponsive connection was closed at `now`.
    void on_abandoned(base::instant now)
    {
        abandoned_expiries_.push_back(now + unresponsive_connection_retention);
    }
    // Stops counting abandoned connections. Called when the target has restarted, because
    // the new process holds no earlier connections.
    void forget_abandoned() { abandoned_expiries_.clear(); }
    // Stops counting the abandoned connections whose retention ended at or before `now`.
    void expire(base::instant now);

    [[nodiscard]] std::uint32_t open() const { return open_; }
    // The number of connections that count against the connection limit.
    [[nodiscard]] std::uint32_t total() const;
    [[nodiscard]] std::uint32_t abandoned() const
    {
        return static_cast<std::uint32_t>(abandoned_expiries_.size());
    }
    // The number of idle connections that are about to be closed for a new one.
    [[nodiscard]] std::uint32_t replacing() const { return replacing_; }
    // The time at which the next abandoned connection stops counting; instant::max() if
    // there is none.
    [[nodiscard]] base::instant next_expiry() const;

private:
    std::uint32_t open_ = 0;
    std::uint32_t opening_ = 0;
    std::uint32_t replacing_ = 0;
    std::deque<base::instant> abandoned_expiries_;
};

} // namespace curranthoist::admission
