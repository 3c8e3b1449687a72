#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/deployment/route_table.hpp"
#include "curranthoist/forwarding/open_request_limit.hpp"
#include "curranthoist/forwarding/request_attempts.hpp"
#include "curranthoist/frontd/caller_request.hpp"
#include "curranthoist/frontd/group_sends.hpp"
#include "curranthoist/frontd/request_record.hpp"
#include "curranthoist/frontd/target_sends.hpp"
#include "curranthoist/http/caller_response.hpp"
#include "curranthoist/http/responder.hpp"

#include <ev++.h>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace curranthoist::frontd {

// One caller's request from its arrival to its answer: carries out what a
// request_attempts decides, with real targets, and answers the caller.
//
// It lives until on_end() is called, which happens once; the owner drops it later,
// outside of its handlers.
class caller_task : public std::enable_shared_from_this<caller_task>
{
public:
    using end_handler = std::function<void()>;

    // The context must outlive it; the table keeps the route alive.
    caller_task(task_context& context,
                std::shared_ptr<const deployment::route_table> table,
                const deployment::route& route, platform::inbound_request request,
                http::responder answer,
                std::shared_ptr<forwarding::open_request_limit::place> place);
    caller_task(const caller_task&) = delete;
    caller_task& operator=(const caller_task&) = delete;

    void start(end_handler on_end);
    // Answers with what there is now, as at the time limit.
    void expire();

private:
    [[nodiscard]] forwarding::request_timing times() const;
    // Time without a report after which a gatherer is overdue.
    [[nodiscard]] base::duration report_limit() const;
    // Carries out the actions in order, and those that follow from them.
    void perform(std::vector<forwarding::request_action> actions);
    void send(const forwarding::send_action& action);
    std::vector<forwarding::request_action>
    start_group(const forwarding::gather_action& action);
    void finish(const forwarding::finish_action& action);
    // Builds the caller's response.
    http::caller_response response_of(const forwarding::finish_action& action,
                                      forwarding::final_outcome outcome);
    void on_caller_gone();
    void on_timer(ev::timer& watcher, int events);
    void schedule();
    void end(const char* outcome, unsigned status, std::size_t missing);
    // Takes a place for the caller, whose request has not run, and returns the time until
    // then.
    base::duration retry_after();

    caller_request request_;
    http::responder answer_;
    // Its part of the requests that the process may have open.
    std::shared_ptr<forwarding::open_request_limit::place> place_;
    target_sends targets_;
    group_sends groups_;
    request_record record_;
    // What a caller whose request has not run was told.
    std::optional<base::duration> told_pause_;
    ev::timer timer_;
    // When the timer is due, and how late it last was.
    base::instant scheduled_;
    base::duration timer_delay_;
    end_handler on_end_;
    bool ended_ = false;
    bool caller_gone_ = false;
};

} // namespace curranthoist::frontd
