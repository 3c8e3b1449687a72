#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/instant.hpp"
#include "curranthoist/forwarding/request_priority.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <utility>

namespace curranthoist::forwarding {

// Decides when a caller whose request has not run comes back.
//
// Load pattern: a service loses all of its targets, or the room of most of them, for an
// unknown time, while callers arrive as before. A caller that comes back too early is
// rejected again and has lost one of its few attempts. Callers that come back at one time
// fill the first targets at once, and the most urgent of them are rejected with the rest.
//
// A shortage that has lasted for a while is expected to last as long again, so that the
// pause grows with its age. The places of returning callers follow each other at the
// interval at which the service was last seen to serve, and those of a less urgent caller
// come after the places of the more urgent ones.
class return_schedule
{
public:
    // A caller that is rejected.
    struct rejection
    {
        request_priority priority;
        // The time until a target is known to take requests again; 0 if none is known.
        base::duration known_pause;
        // The time that is left for the request.
        base::duration time_left;
        // The caller's team sends more than its equal share. Among callers of one
        // priority it comes after the others.
        bool above_share = false;
    };

    // Records that a request to the service was served.
    void on_served(const base::service_id& service, base::instant now);
    // Takes a place for the caller and returns the time until then. It is at most a third
    // of the time left, because callers do not wait longer, but never less than the known
    // pause: a caller that can't be served in its time is told so.
    base::duration reserve(const base::service_id& service, const rejection& caller,
                           base::instant now);

private:
    // Priority, then whether the team is above its share; the lower one comes first.
    using standing = std::pair<request_priority, bool>;
    struct service_state
    {
        base::instant last_served_at;
        // 0 before two requests were served in short order.
        double served_interval_ms = 0;
        // Nothing if there is no shortage.
        std::optional<base::instant> shortage_began_at;
        base::instant last_rejected_at;
        // Requests that were served since the last rejection.
        std::size_t served_since = 0;
        // The places that are still to come, with the standing of their callers.
        std::multimap<base::instant, standing> places;
    };

    // Returns the first time from `earliest` on at which no caller of this standing or a
    // lower one has a place.
    static base::instant free_place(const service_state& state, standing caller,
                                    base::instant earliest);

    std::map<base::service_id, service_state> services_;
};

} // namespace curranthoist::forwarding
