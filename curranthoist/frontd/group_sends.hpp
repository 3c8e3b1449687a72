#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/forwarding/gather_plan.hpp"
#include "curranthoist/forwarding/request_action.hpp"
#include "curranthoist/wire/frame_codec.hpp"

#include <cstddef>
#include <functional>
#include <vector>

namespace curranthoist::frontd {

struct caller_request;
struct group_send;

// The sends of one caller's query that go through gatherers, in groups.
class group_sends
{
public:
    // The index of the group, and the gatherer's report; null if its connection is lost.
    using report_handler = std::function<void(std::size_t, const wire::gather_report*)>;

    // The request must outlive it.
    explicit group_sends(caller_request& request)
        : request_(request)
    {}

    // Returns the groups of the first sends; none if this process sends all by itself.
    [[nodiscard]] std::vector<forwarding::gather_group> plan() const;
    // Replaces second sends to another zone by requests to its gatherers.
    void divide_second_sends(std::vector<forwarding::request_action>& actions) const;
    // Returns the actions that follow if the gatherer can't be reached.
    std::vector<forwarding::request_action> start(const forwarding::gather_action& action,
                                                  const report_handler& on_report);
    // Returns the actions that follow from a report.
    std::vector<forwarding::request_action> on_report(std::size_t group_index,
                                                      const wire::gather_report* report);
    // Tells the links which gatherers have not reported within the limit.
    void note_overdue(base::duration report_limit);
    // Ends what the gatherers still do.
    void end();

private:
    [[nodiscard]] bool may_gather() const;
    void take_parts(const group_send& group, const wire::gather_report& report,
                    std::vector<forwarding::request_action>& actions);
    void take_ungathered(const group_send& group, const wire::gather_report& report,
                         std::vector<forwarding::request_action>& actions);

    caller_request& request_;
};

} // namespace curranthoist::frontd
