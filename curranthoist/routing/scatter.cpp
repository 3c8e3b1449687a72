#include "curranthoist/routing/scatter.hpp"

namespace curranthoist::routing {

std::string_view reason_text(wire::part_status status)
{
    switch (status) {
    case wire::part_status::shed:
        return "the target shed the request";
    case wire::part_status::not_owner:
        return "the target has another owner";
    case wire::part_status::no_lease:
        return "the target's owner has no lease";
    case wire::part_status::snapshot_gone:
        return "the target no longer holds the snapshot";
    case wire::part_status::malformed:
        return "the target's response was malformed";
    case wire::part_status::timed_out:
        return "the target did not respond in time";
    case wire::part_status::ok:
    case wire::part_status::failed:
    case wire::part_status::outcome_unknown:
        break;
    }
    return "the request to the target failed";
}

template class scatter<configured_choice, configured_hedging, strict_reply_check>;

} // namespace curranthoist::routing
