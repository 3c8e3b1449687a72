#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/deployment/zone_answers.hpp"
#include "curranthoist/forwarding/response_kind.hpp"

#include <map>
#include <vector>

namespace curranthoist::forwarding {

// Counts what one VM sees of the targets of each zone, for the leader's decision how much
// a zone gives away. Only the parts of gathered queries count: they are what can leave,
// and other requests may take far longer than they do.
class zone_answer_counts
{
public:
    // Records how a part ended that was sent to a target of the zone. `expected_latency`
    // is the usual latency of such a part, or 0 if it is not known.
    void add(const base::zone_id& zone, response_kind kind, base::duration latency,
             base::duration expected_latency);
    // What was counted since the start, by zone.
    [[nodiscard]] std::vector<deployment::zone_answers> counts() const;

private:
    std::map<base::zone_id, deployment::zone_answers> counts_;
};

} // namespace curranthoist::forwarding
