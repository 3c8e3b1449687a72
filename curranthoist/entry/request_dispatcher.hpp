#pragma once

#include "curranthoist/base/counter_registry.hpp"
#include "curranthoist/base/logger.hpp"
#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/base/wall_clock.hpp"
#include "curranthoist/entry/control_session.hpp"
#include "curranthoist/entry/deferred_calls.hpp"
#include "curranthoist/entry/filters/process_state.hpp"
#include "curranthoist/entry/filters/refusal.hpp"
#include "curranthoist/entry/order_task.hpp"
#include "curranthoist/entry/query_task.hpp"
#include "curranthoist/entry/relay_client.hpp"
#include "curranthoist/entry/service_registry.hpp"
#include "curranthoist/entry/stop_controller.hpp"
#include "curranthoist/http/caller_request.hpp"
#include "curranthoist/http/responder.hpp"
#include "curranthoist/settings/entry_settings.hpp"

#include <ev++.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace curranthoist::entry {

// Takes callers' requests through the filters and starts a task for each that passes, and
// hands replies of owners to the tasks that wait for them.
class request_dispatcher
{
public:
    // The process's parts that requests use; all outlive the dispatcher.
    struct parts
    {
        const settings::entry_settings& settings;
        const stop_controller& stop;
        control_session& control;
        service_registry& services;
        relay_client& relay;
        deferred_calls& deferred;
        base::counter_registry& metrics;
    };

    request_dispatcher(ev::loop_ref loop, parts used, base::incarnation run);

    void on_request(const http::caller_request& request, const http::responder& caller);

    void on_part_reply(const base::vm_id& owner, const wire::part_reply_message& message);
    void on_order_reply(const wire::order_reply_message& message);
    void on_owner_lost(const base::vm_id& owner);

    // Requests of callers that have not ended.
    [[nodiscard]] std::size_t running() const { return queries_.size() + orders_.size(); }
    // What /ready says: nothing if the VM takes requests, otherwise why not.
    [[nodiscard]] std::string not_ready_reason() const;

private:
    [[nodiscard]] process_state present_state();
    [[nodiscard]] bool in_service() const;
    bool answer_own_path(const http::caller_request& request,
                         const http::responder& caller);
    void refuse(const base::request_id& id, const refusal& why,
                const http::responder& caller);
    void start_query(const admitted_request& admitted, const std::string& body,
                     const http::responder& caller);
    void start_order(const admitted_request& admitted, const std::string& body,
                     const http::responder& caller);

    ev::loop_ref loop_;
    parts used_;
    base::monotonic_clock clock_;
    base::wall_clock wall_clock_;
    base::logger log_{"filters"};
    // Counts requests from a value that no earlier run of this VM has reached.
    std::uint64_t last_number_;
    std::map<std::uint64_t, std::unique_ptr<query_task>> queries_;
    std::map<std::uint64_t, std::unique_ptr<order_task>> orders_;
};

} // namespace curranthoist::entry
