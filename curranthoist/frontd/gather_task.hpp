#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/deployment/configuration.hpp"
#include "curranthoist/forwarding/failed_parts.hpp"
#include "curranthoist/forwarding/open_request_limit.hpp"
#include "curranthoist/forwarding/response_kind.hpp"
#include "curranthoist/http/target_client.hpp"
#include "curranthoist/platform/caller_exchange.hpp"
#include "curranthoist/wire/frame_codec.hpp"

#include <ev++.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace curranthoist::frontd {

class route_latency;
struct task_context;

// One gather request, on the gatherer: sends the caller's request once to a target of
// each service and reports what came. It never sends a part again that may have run; the
// process that took the caller's request decides about that.
class gather_task : public std::enable_shared_from_this<gather_task>
{
public:
    using report_handler = std::function<void(wire::gather_report_message)>;
    using end_handler = std::function<void()>;

    // The context must outlive the task; the message is not needed after construction.
    gather_task(task_context& context, const wire::gather_request& request,
                std::shared_ptr<forwarding::open_request_limit::place> place);
    gather_task(const gather_task&) = delete;
    gather_task& operator=(const gather_task&) = delete;

    // Begins to send; `source` gives the limits of the services. `on_end` is called once,
    // after the last report.
    void start(const deployment::configuration& source, report_handler on_report,
               end_handler on_end);
    // Ends every open call without a report.
    void cancel();

private:
    struct part
    {
        base::service_id service;
        std::vector<base::target_id> tried;
        // Of the last target.
        base::zone_id zone;
        http::target_client::call_number number = 0;
        base::instant sent_at;
        bool open = false;
        forwarding::response_kind kind = forwarding::response_kind::unreachable;
        platform::target_response response;
    };

    // Sends to the best target that was not tried. Returns false if there is none.
    bool send(std::size_t index, const deployment::configuration& source);
    void on_result(std::size_t index, http::target_result result);
    // Reports all parts that have come, and why the others have not.
    void report();
    // Reports one part that came, or failed, after the first report.
    void report_late(std::size_t index);
    // Reports the parts that failed before the first report, so that they are sent again
    // without waiting for it.
    void report_failed();
    static void add_ungathered(wire::gather_report_message& message, std::size_t index,
                               const part& from);
    // From this time on nothing is sent any more.
    [[nodiscard]] base::instant send_deadline() const;
    // Takes back the parts that wait for a connection at the send deadline.
    void withdraw_late();
    void schedule_withdrawal();
    void end_if_done();
    void on_timer(ev::timer& watcher, int events);
    void on_failed_timer(ev::timer& watcher, int events);

    task_context& context_;
    std::uint64_t id_;
    platform::inbound_request request_;
    std::size_t top_records_;
    // Each part is reported by itself.
    bool separate_;
    base::duration objective_;
    base::monotonic_clock clock_;
    base::instant deadline_;
    route_latency& latency_;
    std::vector<part> parts_;
    // Its part of the requests that the process may have open.
    std::shared_ptr<forwarding::open_request_limit::place> place_;
    std::size_t open_parts_ = 0;
    forwarding::failed_parts failed_;
    ev::timer failed_timer_;
    bool reported_ = false;
    bool ended_ = false;
    ev::timer timer_;
    report_handler on_report_;
    end_handler on_end_;
};

} // namespace curranthoist::frontd
