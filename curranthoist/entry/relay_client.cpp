#include "curranthoist/entry/relay_client.hpp"

#include "curranthoist/control/configuration.hpp"

#include <utility>

namespace curranthoist::entry {

namespace {

std::map<base::vm_id, base::endpoint>
owners_of(const control::configuration& configuration)
{
    std::map<base::vm_id, base::endpoint> result;
    for (const auto& [target, given] : configuration.assignments) {
        const auto vm = configuration.vms.find(given.owner);
        if (vm != configuration.vms.end()) {
            result[given.owner] = vm->second.peer_address;
        }
    }
    return result;
}

} // namespace

relay_client::relay_client(ev::loop_ref loop, base::vm_id self, part_server& own,
                           handlers on)
    : loop_(loop)
    , self_(std::move(self))
    , own_(own)
    , on_(std::move(on))
{}

void relay_client::apply(const control::configuration& configuration)
{
    std::map<base::vm_id, base::endpoint> owners = owners_of(configuration);
    owners.erase(self_);
    // A VM that is still configured may have parts under way, also when it has just given
    // up its last target.
    std::erase_if(links_, [&](const auto& entry) {
        const auto vm = configuration.vms.find(entry.first);
        const bool kept = vm != configuration.vms.end() &&
                          vm->second.peer_address == entry.second->address();
        if (!kept) {
            lost_.erase(entry.first);
            on_.on_owner_lost(entry.first);
        }
        return !kept;
    });
    for (const auto& [owner, address] : owners) {
        if (!links_.contains(owner)) {
            open_link(owner, address);
        }
    }
    on_.on_links_changed();
}

void relay_client::open_link(const base::vm_id& owner, const base::endpoint& address)
{
    lost_.insert(owner);
    peer_link::handlers on;
    on.on_message = [this, owner](const wire::envelope& message) {
        on_message(owner, message);
    };
    on.on_change = [this, owner](bool usable) { on_change(owner, usable); };
    links_[owner] =
        std::make_unique<peer_link>(loop_, self_, owner, address, std::move(on));
}

bool relay_client::send(const base::vm_id& owner, wire::parts_request_message request)
{
    if (owner == self_) {
        own_.serve_parts(self_, request, [this](const wire::part_reply_message& reply) {
            on_.on_part_reply(self_, reply);
        });
        return true;
    }
    const auto link = links_.find(owner);
    return link != links_.end() && link->second->send(std::move(request));
}

bool relay_client::send(const base::vm_id& owner, wire::order_request_message request)
{
    if (owner == self_) {
        own_.serve_order(self_, request, [this](const wire::order_reply_message& reply) {
            on_.on_order_reply(reply);
        });
        return true;
    }
    const auto link = links_.find(owner);
    return link != links_.end() && link->second->send(std::move(request));
}

void relay_client::cancel(const base::vm_id& owner, std::uint64_t query,
                          std::uint64_t part)
{
    if (owner == self_) {
        own_.cancel_part({self_, query, part});
        return;
    }
    const auto link = links_.find(owner);
    if (link != links_.end()) {
        wire::part_cancel_message message;
        message.query_id = query;
        message.part_id = part;
        link->second->send(message);
    }
}

void relay_client::on_message(const base::vm_id& owner, const wire::envelope& message)
{
    if (const wire::part_reply* part = message.body_as_part_reply()) {
        wire::part_reply_message reply;
        part->UnPackTo(&reply);
        on_.on_part_reply(owner, reply);
    }
    else if (const wire::order_reply* order = message.body_as_order_reply()) {
        wire::order_reply_message reply;
        order->UnPackTo(&reply);
        on_.on_order_reply(reply);
    }
}

void relay_client::on_change(const base::vm_id& owner, bool usable)
{
    if (usable) {
        lost_.erase(owner);
        on_.on_links_changed();
        return;
    }
    lost_.insert(owner);
    on_.on_links_changed();
    on_.on_owner_lost(owner);
}

} // namespace curranthoist::entry
