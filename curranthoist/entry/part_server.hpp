#pragma once

#include "curranthoist/base/counter_registry.hpp"
#include "curranthoist/base/logger.hpp"
#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/entry/deferred_calls.hpp"
#include "curranthoist/entry/part_key.hpp"
#include "curranthoist/entry/target_task.hpp"

#include <ev++.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace curranthoist::control {
struct configuration;
} // namespace curranthoist::control

namespace curranthoist::entry {

// Serves parts and orders for the targets that this VM owns, to this VM's own queries and
// to other VMs alike. Replies never arrive inside the call that asked for them.
class part_server
{
public:
    struct handlers
    {
        std::function<void(const base::target_id&, const routing::target_fact&)> on_fact;
        std::function<void(const wire::released_target_message&)> on_released;
        // The target has another owner, or none, by the configuration in force.
        std::function<void(const base::target_id&)> on_dropped;
    };
    using part_reply_handler = std::function<void(wire::part_reply_message)>;
    using order_reply_handler = std::function<void(wire::order_reply_message)>;

    part_server(ev::loop_ref loop, base::vm_id self, settings::policy_settings policies,
                deferred_calls& deferred, base::counter_registry& metrics, handlers on);

    // Takes and gives up targets as the assignments in force say.
    void apply(const control::configuration& configuration);
    void set_lease_end(base::instant end);

    // Runs the parts; one reply each, but none for a cancelled part.
    void serve_parts(const base::vm_id& coordinator,
                     const wire::parts_request_message& request,
                     const part_reply_handler& reply);
    void serve_order(const base::vm_id& coordinator,
                     const wire::order_request_message& request,
                     order_reply_handler reply);
    void cancel_part(const part_key& key);
    // The connection to a coordinator is gone: its parts are cancelled. Its orders run
    // on.
    void cancel_all_of(const base::vm_id& coordinator);

    // Parts and orders without an answer.
    [[nodiscard]] std::size_t running() const { return running_.size(); }
    [[nodiscard]] std::size_t owned() const { return tasks_.size(); }

private:
    struct ticket
    {
        base::target_id target;
        std::uint64_t call = 0;
    };

    void take(const base::target_id& id, const control::target_spec& spec,
              const control::assignment& given);
    void start(const part_key& key, const base::target_id& target, target_request request,
               std::function<void(target_answer)> on_answer);
    void finish(const part_key& key, const std::function<void(target_answer)>& on_answer,
                target_answer value);
    void drop_tasks(const control::configuration& configuration);
    void count_cold(const base::target_id& id, const base::service_id& service,
                    bool cold);

    ev::loop_ref loop_;
    base::vm_id self_;
    settings::policy_settings policies_;
    deferred_calls& deferred_;
    base::counter_registry& metrics_;
    handlers on_;
    base::monotonic_clock clock_;
    base::logger log_{"ownership"};
    base::instant lease_end_;
    std::map<base::target_id, std::unique_ptr<target_task>> tasks_;
    std::map<part_key, ticket> running_;
    // Owned targets that aren't warm.
    std::map<base::service_id, std::set<base::target_id>> cold_;
};

} // namespace curranthoist::entry
