#pragma once

#include "curranthoist/forwarding/request_room.hpp"

#include <algorithm>
#include <cstddef>
#include <memory>

namespace curranthoist::forwarding {

// Limits the requests that one process has open at once, by their number and by the sends
// that they need together, each of which takes memory until the request ends. Load
// pattern: callers send more queries to many shards than targets answer, on many
// connections or ahead on a few.
//
// Requests with several sends leave an eighth of the sends to single ones.
//
//     open_request_limit limit({.max_requests = 300, .max_sends = 4000});
//     const auto place = limit.take(route.shards.size());
//     if (!place) { ... }   // refuse: it has not run
class open_request_limit
{
public:
    struct options
    {
        std::size_t max_requests = 1000;
        std::size_t max_sends = 10'000;
    };

    // Counts one open request; free again when it goes away. It may outlive the limit.
    class place;

    explicit open_request_limit(options limits)
        : state_(std::make_shared<state>(state{limits, 0, 0}))
    {}

    // A place for a request with so many sends; null if there is none.
    [[nodiscard]] std::shared_ptr<place> take(std::size_t sends);

    // Does not end places that were taken before.
    void set_max_requests(std::size_t count) { state_->limits.max_requests = count; }

    [[nodiscard]] std::size_t requests() const { return state_->requests; }
    [[nodiscard]] std::size_t sends() const { return state_->sends; }
    // What a request with so many sends finds and takes of the room, by number or by
    // sends, whichever is nearer to its limit.
    [[nodiscard]] request_room room_for(std::size_t sends) const;

private:
    struct state
    {
        options limits;
        std::size_t requests;
        std::size_t sends;
    };

    [[nodiscard]] std::size_t max_sends_with(std::size_t sends) const;
    [[nodiscard]] bool fits(std::size_t sends) const;

    std::shared_ptr<state> state_;
};

class open_request_limit::place
{
public:
    place(std::shared_ptr<state> from, std::size_t sends)
        : state_(std::move(from))
        , sends_(sends)
    {
        ++state_->requests;
        state_->sends += sends_;
    }
    ~place()
    {
        --state_->requests;
        state_->sends -= sends_;
    }
    place(const place&) = delete;
    place& operator=(const place&) = delete;

private:
    std::shared_ptr<state> state_;
    std::size_t sends_;
};

inline std::size_t open_request_limit::max_sends_with(std::size_t sends) const
{
    constexpr std::size_t single_send_divisor = 8;
    return sends > 1
               ? state_->limits.max_sends - state_->limits.max_sends / single_send_divisor
               : state_->limits.max_sends;
}

inline bool open_request_limit::fits(std::size_t sends) const
{
    // One request with more sends than the limit is served when it is alone.
    return state_->requests < state_->limits.max_requests &&
           (state_->sends + sends <= max_sends_with(sends) || state_->sends == 0);
}

inline request_room open_request_limit::room_for(std::size_t sends) const
{
    const auto max_requests = static_cast<double>(state_->limits.max_requests);
    const auto max_sends = static_cast<double>(max_sends_with(sends));
    return {std::max(static_cast<double>(state_->requests) / max_requests,
                     static_cast<double>(state_->sends) / max_sends),
            std::max(1.0 / max_requests, static_cast<double>(sends) / max_sends),
            fits(sends)};
}

inline std::shared_ptr<open_request_limit::place>
open_request_limit::take(std::size_t sends)
{
    return fits(sends) ? std::make_shared<place>(state_, sends) : nullptr;
}

} // namespace curranthoist::forwarding
