#pragma once

#include "curranthoist/base/counter_registry.hpp"
#include "curranthoist/base/logger.hpp"
#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/entry/control_session.hpp"
#include "curranthoist/entry/filters/admitted_request.hpp"
#include "curranthoist/entry/relay_client.hpp"
#include "curranthoist/entry/service_state.hpp"
#include "curranthoist/execution/order_attempt.hpp"
#include "curranthoist/http/responder.hpp"

#include <ev++.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace curranthoist::entry {

// One caller's order: runs the attempt's decisions, answers the caller and reports its
// end, which may come later than the answer. The end handler must not destroy it at once.
class order_task
{
public:
    order_task(ev::loop_ref loop, const execution::order_options& options,
               admitted_request request, const std::string& body, http::responder caller,
               service_state& shared, std::shared_ptr<const routing::service_map> map,
               relay_client& relay, control_session& control,
               base::counter_registry& metrics, std::function<void()> on_end);
    ~order_task();
    order_task(const order_task&) = delete;
    order_task& operator=(const order_task&) = delete;

    void start();
    void on_order_reply(const wire::order_reply_message& message);
    void on_owner_lost(const base::vm_id& owner);

private:
    using attempt_type = execution::order_attempt<>;

    void run(const attempt_type::actions& actions);
    void perform(const execution::claim_order& action);
    void perform(const execution::send_order& action);
    void perform(const execution::record_outcome& action);
    void perform(const execution::answer_order& action);
    void on_claim(const std::optional<wire::claim_reply_message>& message);
    void on_timer(ev::timer& watcher, int events);
    void schedule();

    execution::order_options options_;
    admitted_request request_;
    std::vector<std::uint8_t> body_;
    http::responder caller_;
    relay_client& relay_;
    control_session& control_;
    base::counter_registry& metrics_;
    std::function<void()> on_end_;
    bool ended_ = false;
    base::monotonic_clock clock_;
    base::logger log_{"execution"};
    attempt_type attempt_;
    ev::timer timer_;
};

} // namespace curranthoist::entry
