#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/base/logger.hpp"
#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/deployment/route_table.hpp"
#include "curranthoist/forwarding/open_request_limit.hpp"
#include "curranthoist/http/responder.hpp"
#include "curranthoist/platform/caller_exchange.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace curranthoist::frontd {

struct front_state;

// Decides whether a caller's request is taken, and answers one that is not: it has not
// run.
class request_admission
{
public:
    // A request that is taken. The table keeps the route alive.
    struct admitted
    {
        std::shared_ptr<const deployment::route_table> table;
        const deployment::route& route;
        platform::inbound_request request;
        std::shared_ptr<forwarding::open_request_limit::place> place;
    };

    // The state must outlive it. `core_is_away` tells whether no member of the core
    // answers.
    request_admission(front_state& state, std::function<bool()> core_is_away);

    // Refuses all requests from this time on.
    void close_at(base::instant at) { closed_at_ = at; }
    // Returns the request if it is taken, and has answered it if not.
    [[nodiscard]] std::optional<admitted> take(platform::inbound_request request,
                                               const http::responder& answer);

private:
    // Answers a request that this process can't take now; it has not run. `team_cause`
    // says why its team gets no place.
    void refuse(const platform::inbound_request& request, const http::responder& answer,
                const char* reason, base::duration retry_after,
                const char* team_cause = nullptr);
    // Determines the team of a request by its key. Answers the request and returns false
    // if it may not run: its key is unknown, can't be known now, or its team is beyond
    // its limit.
    bool admit_team(platform::inbound_request& request, const deployment::route& route,
                    const http::responder& answer);
    // Decides whether the request's team gets a place now. Refuses the request and
    // returns false if not.
    bool share_room(const platform::inbound_request& request,
                    const deployment::route& route, std::size_t sends,
                    const http::responder& answer);
    void count_team(const std::string& team, const char* outcome);

    front_state& state_;
    std::function<bool()> core_is_away_;
    base::logger log_{"front"};
    base::monotonic_clock clock_;
    base::instant started_;
    base::instant closed_at_ = base::instant::max();
};

} // namespace curranthoist::frontd
