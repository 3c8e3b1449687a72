#pragma once

#include "curranthoist/admission/target_admission.hpp"
#include "curranthoist/base/logger.hpp"
#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/control/assignment.hpp"
#include "curranthoist/control/target_spec.hpp"
#include "curranthoist/entry/snapshot_history.hpp"
#include "curranthoist/entry/target_answer.hpp"
#include "curranthoist/entry/target_request.hpp"
#include "curranthoist/http/target_client.hpp"
#include "curranthoist/routing/target_fact.hpp"
#include "curranthoist/settings/policy_settings.hpp"
#include "curranthoist/wire/generated/messages_generated.h"

#include <ev++.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace curranthoist::entry {

// One target that this VM owns: carries out what its admission decides, on connections of
// its own, and polls its status. It ends with the handler `on_released` after release().
class target_task
{
public:
    static constexpr base::duration poll_interval{1000};

    using answer_handler = std::function<void(target_answer)>;

    struct handlers
    {
        // The fact about the target changed.
        std::function<void(const routing::target_fact&)> on_fact;
        // Nothing runs at the target any more and all connections are closed.
        std::function<void(std::uint64_t pace_milli_per_s, bool warm)> on_released;
    };

    target_task(ev::loop_ref loop, base::target_id id, const control::target_spec& spec,
                const control::assignment& given,
                const settings::policy_settings& policies, handlers on);
    // Ends what runs without an answer.
    ~target_task();
    target_task(const target_task&) = delete;
    target_task& operator=(const target_task&) = delete;

    // Starts, queues or refuses a request. The handler is called once, possibly before
    // this returns, and must not destroy the task.
    std::uint64_t start(target_request request, answer_handler on_answer);
    // Nobody waits for the answer any more; its handler is not called.
    void cancel(std::uint64_t call);
    // The VM lease ends then.
    void set_lease_end(base::instant end);
    void set_limits(const control::target_spec& spec);
    // Sends nothing more, finishes what runs and closes the connections.
    void release();

    [[nodiscard]] base::fence fence() const { return fence_; }
    [[nodiscard]] const base::service_id& service() const { return spec_.service; }
    [[nodiscard]] bool releasing() const { return releasing_; }
    // Requests without an answer.
    [[nodiscard]] std::size_t running() const { return calls_.size(); }

private:
    struct call_entry
    {
        target_request request;
        answer_handler on_answer;
        // The client's number; 0 while the call waits.
        http::target_client::call_number sent = 0;
    };

    using admission_type = admission::target_admission<>;

    void run(const admission_type::actions& actions);
    void perform(const admission::start_call& action);
    void perform(const admission::reject_call& action);
    void perform(const admission::cancel_call& action);
    void perform(const admission::close_connections& action);
    void perform(const admission::target_released& action);
    void refuse_expired(std::uint64_t call);
    void on_result(std::uint64_t call, const http::target_result& result);
    void answer(std::uint64_t call, target_answer value);
    void on_socket(http::target_client::call_number sent, bool opened);
    void report_sockets();
    void on_wakeup(ev::timer& watcher, int events);
    void on_poll(ev::timer& watcher, int events);
    void on_status(const http::target_result& result);
    void settle();
    void publish_fact();

    base::target_id id_;
    base::fence fence_;
    control::target_spec spec_;
    handlers on_;
    base::monotonic_clock clock_;
    base::logger log_{"admission"};
    admission_type admission_;
    // Sockets that were opened (for that call) or closed (0) since the last report. They
    // happen inside libcurl, where nothing can be started or cancelled.
    std::vector<std::uint64_t> socket_events_;
    std::uint32_t client_limit_;
    std::unique_ptr<http::target_client> client_;
    // Polls have a connection of their own, so that they never wait behind requests.
    std::unique_ptr<http::target_client> poll_client_;
    ev::timer wakeup_;
    ev::timer poll_;
    bool poll_running_ = false;
    bool releasing_ = false;
    bool close_asked_ = false;
    bool released_ = false;
    bool polled_ = false;
    base::instant lease_end_;
    std::uint64_t last_call_ = 0;
    std::map<std::uint64_t, call_entry> calls_;
    // As last polled, and as last reported.
    routing::target_fact fact_;
    std::optional<routing::target_fact> published_;
    snapshot_history history_;
};

} // namespace curranthoist::entry
