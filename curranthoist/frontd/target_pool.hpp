#pragma once

#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/http/target_client.hpp"

#include <ev++.h>

#include <concepts>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace curranthoist::frontd {

// The connections of one front process to each target, within its part of what the target
// accepts from all of them together.
class target_pool
{
public:
    // Told a target's number of open connections whenever it changes.
    using connection_handler =
        std::function<void(const base::target_id& id, std::size_t count)>;

    // The responses of all targets hold `memory` together at most, and their connections
    // take `max_sockets`.
    target_pool(ev::loop_ref loop, std::shared_ptr<http::memory_account> memory,
                std::size_t max_sockets)
        : loop_(loop)
        , memory_(std::move(memory))
        , sockets_(std::make_shared<http::socket_budget>(max_sockets))
    {
        sockets_->on_shortage([this] { return close_idle_socket(); });
    }
    target_pool(const target_pool&) = delete;
    target_pool& operator=(const target_pool&) = delete;

    void set_connection_handler(connection_handler handler)
    {
        on_connections_ = std::move(handler);
    }

    // The client of a target; created at the first call.
    // `traffic` counts what it exchanges with the target; null for nobody.
    http::target_client& client(const base::target_id& id, const base::endpoint& address,
                                std::size_t max_connections,
                                base::traffic_count* traffic = nullptr);
    // The client if there is one. It knows no call of a former client of that id.
    [[nodiscard]] http::target_client* find(const base::target_id& id);
    // The targets are gone: their unsent calls are taken back, and their clients end once
    // the others have.
    void retire(const std::vector<base::target_id>& ids);
    // Takes back the unsent calls of the targets for which `unusable` holds. Their
    // results come later, from the loop.
    template <std::predicate<const base::target_id&> Unusable>
    void withdraw_unsent(Unusable unusable)
    {
        for (const auto& [id, client] : clients_) {
            if (client->has_waiting_calls() && unusable(id)) {
                client->withdraw_unsent();
            }
        }
    }
    // Lets calls go on that waited for a socket.
    void retry_waiting();
    // Drops retired clients without calls; must not be called from a result handler.
    void drop_idle();
    [[nodiscard]] std::size_t open_sockets() const;
    [[nodiscard]] const http::memory_account& memory() const { return *memory_; }
    // The account that holds the targets' responses until their callers have them.
    [[nodiscard]] const std::shared_ptr<http::memory_account>& shared_memory() const
    {
        return memory_;
    }

private:
    bool close_idle_socket();
    void retire(std::unique_ptr<http::target_client> client);

    ev::loop_ref loop_;
    std::shared_ptr<http::memory_account> memory_;
    std::shared_ptr<http::socket_budget> sockets_;
    // Of all clients: a target's id can come back with a new client, and its calls must
    // not have the numbers of the former one's.
    std::shared_ptr<http::target_client::call_number> last_call_ =
        std::make_shared<http::target_client::call_number>(0);
    // The client that closed an idle socket for another one last.
    base::target_id last_closed_;
    connection_handler on_connections_;
    std::map<base::target_id, std::unique_ptr<http::target_client>> clients_;
    std::vector<std::unique_ptr<http::target_client>> retired_;
};

} // namespace curranthoist::frontd
