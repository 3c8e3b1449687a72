#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/base/logger.hpp"
#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/deployment/route_table.hpp"
#include "curranthoist/forwarding/open_request_limit.hpp"
#include "curranthoist/forwarding/request_attempts.hpp"
#include "curranthoist/frontd/request_sends.hpp"
#include "curranthoist/http/responder.hpp"
#include "curranthoist/platform/caller_exchange.hpp"
#include "curranthoist/wire/frame_codec.hpp"

#include <ev++.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace curranthoist::frontd {

class route_latency;
struct task_context;

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
    [[nodiscard]] forwarding::request_timing times(base::instant now) const;
    // Carries out the actions in order, and those that follow from them.
    void perform(std::vector<forwarding::request_action> actions);
    // Replaces second sends to another zone by requests to its gatherers.
    void gather_second_sends(std::vector<forwarding::request_action>& actions) const;
    // Returns the actions that follow if the gatherer can't be reached.
    std::vector<forwarding::request_action>
    start_group(const forwarding::gather_action& action);
    // A report of a gatherer; null if its connection is lost.
    void on_report(std::size_t group_index, const wire::gather_report* report);
    void take_parts(const group_send& group, const wire::gather_report& report,
                    std::vector<forwarding::request_action>& actions);
    void take_ungathered(const group_send& group, const wire::gather_report& report,
                         std::vector<forwarding::request_action>& actions);
    // Tells the links which gatherers have not reported in time.
    void note_overdue_groups();
    void end_groups();
    void send(const forwarding::send_action& action);
    void cancel(const forwarding::cancel_action& action);
    void recall(const forwarding::recall_action& action);
    // One line for all sends of these actions that are not the first.
    void log_extra_sends(const std::vector<forwarding::request_action>& actions);
    void finish(const forwarding::finish_action& action);
    void on_result(forwarding::call_id call, http::target_result result);
    void on_caller_gone();
    void on_timer(ev::timer& watcher, int events);
    void schedule();
    void end(const char* outcome, unsigned status, std::size_t missing);
    // Why the shards (or the one service) that got no send got none, for the log; empty
    // if each got one.
    [[nodiscard]] std::string shortages() const;
    // Takes a place for the caller, whose request has not run, and returns the time until
    // then.
    base::duration retry_after();

    task_context& context_;
    std::shared_ptr<const deployment::route_table> table_;
    const deployment::route& route_;
    platform::inbound_request request_;
    http::responder answer_;
    // Its part of the requests that the process may have open.
    std::shared_ptr<forwarding::open_request_limit::place> place_;
    base::monotonic_clock clock_;
    base::instant arrived_;
    base::instant hard_limit_;
    route_latency& latency_;
    std::optional<forwarding::request_attempts> run_;
    request_sends sends_;
    // What a caller whose request has not run was told.
    std::optional<base::duration> told_pause_;
    ev::timer timer_;
    // When the timer is due, and how late it last was.
    base::instant scheduled_;
    base::duration timer_delay_;
    end_handler on_end_;
    bool ended_ = false;
    bool caller_gone_ = false;
    std::size_t hedges_ = 0;
    std::size_t retries_ = 0;
};

} // namespace curranthoist::frontd
