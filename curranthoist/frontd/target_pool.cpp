#include "curranthoist/frontd/target_pool.hpp"

#include <utility>

namespace curranthoist::frontd {

http::target_client& target_pool::client(const base::target_id& id,
                                         const base::endpoint& address,
                                         std::size_t max_connections,
                                         base::traffic_count* traffic)
{
    auto& found = clients_[id];
    if (found && found->remote() != address) {
        retire(std::exchange(found, nullptr));
    }
    if (!found) {
        found = std::make_unique<http::target_client>(loop_, address, max_connections);
        found->count_traffic(traffic);
        found->limit_memory(memory_);
        found->limit_sockets(sockets_);
        found->share_numbers(last_call_);
        found->set_socket_handler(
            [this, id, &client = *found](http::target_client::call_number, bool) {
                if (on_connections_) {
                    on_connections_(id, client.open_sockets());
                }
            });
    }
    else if (found->max_connections() != max_connections) {
        found->set_max_connections(max_connections);
    }
    return *found;
}

bool target_pool::close_idle_socket()
{
    // In turns, so that no target loses all of its connections.
    auto next = clients_.upper_bound(last_closed_);
    for (std::size_t i = 0; i < clients_.size(); ++i, ++next) {
        next = next == clients_.end() ? clients_.begin() : next;
        if (next->second->close_idle()) {
            last_closed_ = next->first;
            return true;
        }
    }
    return false;
}

void target_pool::retry_waiting()
{
    for (const auto& [id, client] : clients_) {
        if (client->has_waiting_calls()) {
            client->retry_waiting();
        }
    }
}

http::target_client* target_pool::find(const base::target_id& id)
{
    const auto found = clients_.find(id);
    return found == clients_.end() ? nullptr : found->second.get();
}

void target_pool::retire(const std::vector<base::target_id>& ids)
{
    for (const base::target_id& id : ids) {
        if (auto gone = clients_.extract(id); !gone.empty()) {
            retire(std::move(gone.mapped()));
        }
    }
}

void target_pool::retire(std::unique_ptr<http::target_client> client)
{
    // Another run of the target may have the same id by now.
    client->set_socket_handler(nullptr);
    client->withdraw_unsent();
    retired_.push_back(std::move(client));
}

void target_pool::drop_idle()
{
    std::erase_if(retired_, [](const auto& one) { return one->open_calls() == 0; });
}

std::size_t target_pool::open_sockets() const
{
    std::size_t sum = 0;
    for (const auto& [id, client] : clients_) {
        sum += client->open_sockets();
    }
    return sum;
}

} // namespace curranthoist::frontd
