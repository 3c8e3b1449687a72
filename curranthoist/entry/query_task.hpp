#pragma once

#include "curranthoist/base/counter_registry.hpp"
#include "curranthoist/base/logger.hpp"
#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/entry/filters/admitted_request.hpp"
#include "curranthoist/entry/relay_client.hpp"
#include "curranthoist/entry/service_state.hpp"
#include "curranthoist/http/responder.hpp"
#include "curranthoist/routing/scatter.hpp"

#include <ev++.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace curranthoist::entry {

// One caller's query: runs the scatter's decisions, answers the caller, and reports its
// end. The end handler must not destroy it at once.
class query_task
{
public:
    query_task(ev::loop_ref loop, std::uint64_t number, admitted_request request,
               const std::string& body, http::responder caller, service_state& shared,
               std::shared_ptr<const routing::service_map> map, relay_client& relay,
               base::counter_registry& metrics, std::function<void()> on_end);
    ~query_task();
    query_task(const query_task&) = delete;
    query_task& operator=(const query_task&) = delete;

    void start();
    void on_part_reply(const base::vm_id& owner, const wire::part_reply_message& message);
    void on_owner_lost(const base::vm_id& owner);

private:
    using scatter_type = routing::scatter<>;

    void run(const scatter_type::actions& actions);
    bool send(const routing::send_parts& action);
    void finish(const routing::respond& result);
    void end();
    void on_caller_gone();
    void on_timer(ev::timer& watcher, int events);
    void schedule();
    void log_send(const routing::send_parts& action) const;
    void count(const char* result);

    std::uint64_t number_;
    admitted_request request_;
    std::vector<std::uint8_t> body_;
    http::responder caller_;
    service_state& shared_;
    relay_client& relay_;
    base::counter_registry& metrics_;
    std::function<void()> on_end_;
    bool ended_ = false;
    base::monotonic_clock clock_;
    base::logger log_{"routing"};
    base::instant started_;
    scatter_type scatter_;
    ev::timer timer_;
};

} // namespace curranthoist::entry
