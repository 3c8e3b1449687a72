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

    void on_opening() { ++opening_; }
    // An opening ended: in a connection, or in none.
    void on_opening_ended();
    void on_opened() { ++open_; }
    void on_closed();
    void on_given_up(base::instant now)
    {
        given_up_.push_back(now + silent_connection_kept);
    }
    // Forgets the given-up connections whose time has passed.
    void expire(base::instant now);

    [[nodiscard]] std::uint32_t open() const { return open_; }
    // What counts against the budget.
    [[nodiscard]] std::uint32_t total() const;
    [[nodiscard]] std::uint32_t given_up() const;
    // When the next given-up connection stops counting; instant::max() if none does.
    [[nodiscard]] base::instant next_expiry() const;

private:
    std::uint32_t open_ = 0;
    std::uint32_t opening_ = 0;
    std::deque<base::instant> given_up_;
};

} // namespace curranthoist::admission
