#pragma once

#include "curranthoist/base/instant.hpp"

#include <cstdint>
#include <deque>

namespace curranthoist::admission {

// Counts the connections that the target may see from this owner: open ones, ones being
// opened, and for 60 s ones that were given up as silent, because the target has not
// learnt that those are closed.
class connection_ledger
{
public:
    static constexpr base::duration silent_connection_kept{60'000};

    // A call asked for a new connection; `replaces_idle` if an idle one is closed for it.
    void on_opening(bool replaces_idle);
    // That request ended: in a connection, or in none.
    void on_opening_ended(bool replaces_idle);
    // The number of sockets that the shell has open; absolute, so that no lost report can
    // falsify the count for good.
    void set_open(std::uint32_t open) { open_ = open; }
    void on_given_up(base::instant now)
    {
        given_up_.push_back(now + silent_connection_kept);
    }
    // The target has restarted and has no connection of its former life.
    void forget_given_up() { given_up_.clear(); }
    // Forgets the given-up connections whose time has passed.
    void expire(base::instant now);

    [[nodiscard]] std::uint32_t open() const { return open_; }
    // What counts against the budget.
    [[nodiscard]] std::uint32_t total() const;
    [[nodiscard]] std::uint32_t given_up() const
    {
        return static_cast<std::uint32_t>(given_up_.size());
    }
    // Idle connections that are about to be closed for a new one.
    [[nodiscard]] std::uint32_t replacing() const { return replacing_; }
    // When the next given-up connection stops counting; instant::max() if none does.
    [[nodiscard]] base::instant next_expiry() const;

private:
    std::uint32_t open_ = 0;
    std::uint32_t opening_ = 0;
    std::uint32_t replacing_ = 0;
    std::deque<base::instant> given_up_;
};

} // namespace curranthoist::admission
