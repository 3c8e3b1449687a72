#pragma once

#include <cstddef>
#include <functional>
#include <utility>

namespace curranthoist::http {

// Limits the sockets that the target_clients of a process have open together. Load
// pattern: queries to many shards wait for responses, and each of them needs a connection
// of its own to each of many targets.
//
// A call that finds no free socket waits in its client; the owner of the clients lets
// them try again (target_client::retry_waiting()).
class socket_budget
{
public:
    // Closes a socket that serves no call; returns false if there is none.
    using shortage_handler = std::function<bool()>;

    explicit socket_budget(std::size_t max_sockets)
        : max_sockets_(max_sockets)
    {}

    void on_shortage(shortage_handler handler) { shortage_ = std::move(handler); }

    // Whether one more socket may be opened, after an idle one was closed if need be.
    [[nodiscard]] bool make_room()
    {
        return has_room() || (shortage_ && shortage_() && has_room());
    }
    [[nodiscard]] bool has_room() const { return open_ < max_sockets_; }
    void on_opened() { ++open_; }
    void on_closed() { --open_; }
    [[nodiscard]] std::size_t open() const { return open_; }

private:
    std::size_t max_sockets_;
    std::size_t open_ = 0;
    shortage_handler shortage_;
};

} // namespace curranthoist::http
