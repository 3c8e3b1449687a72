#pragma once

#include "curranthoist/entry/part_server.hpp"
#include "curranthoist/entry/peer_link.hpp"

#include <ev++.h>

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace curranthoist::entry {

// Sends parts and orders to the VMs that own their targets: over a link to each such VM,
// or in process to this VM's own part server. Replies always arrive later, from the loop.
class relay_client
{
public:
    struct handlers
    {
        std::function<void(const base::vm_id& owner, const wire::part_reply_message&)>
            on_part_reply;
        std::function<void(const wire::order_reply_message&)> on_order_reply;
        // Nothing that was sent to that VM will be answered.
        std::function<void(const base::vm_id& owner)> on_owner_lost;
        // disconnected_owners() changed.
        std::function<void()> on_links_changed;
    };

    relay_client(ev::loop_ref loop, base::vm_id self, part_server& own, handlers on);

    // Keeps a link to each VM that owns a target.
    void apply(const control::configuration& configuration);

    // These return false if there is no connection to the owner; nothing was sent then.
    bool send(const base::vm_id& owner, wire::parts_request_message request);
    bool send(const base::vm_id& owner, wire::order_request_message request);
    void cancel(const base::vm_id& owner, std::uint64_t query, std::uint64_t part);

    // Owners without a working link.
    [[nodiscard]] const std::set<base::vm_id>& disconnected_owners() const
    {
        return lost_;
    }

private:
    void open_link(const base::vm_id& owner, const base::endpoint& address);
    void on_message(const base::vm_id& owner, const wire::envelope& message);
    void on_change(const base::vm_id& owner, bool usable);

    ev::loop_ref loop_;
    base::vm_id self_;
    part_server& own_;
    handlers on_;
    std::map<base::vm_id, std::unique_ptr<peer_link>> links_;
    std::set<base::vm_id> lost_;
};

} // namespace curranthoist::entry
