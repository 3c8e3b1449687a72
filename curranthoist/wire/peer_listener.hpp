#pragma once

#include "curranthoist/base/endpoint.hpp"

#include <ev++.h>

#include <functional>

namespace curranthoist::wire {

// Accepts TCP connections on one endpoint and hands out their non-blocking sockets.
class peer_listener
{
public:
    // Receives ownership of an accepted socket.
    using accept_handler = std::function<void(int descriptor)>;

    // Throws std::system_error if the endpoint can't be bound.
    peer_listener(ev::loop_ref loop, const base::endpoint& local,
                  accept_handler on_accept);
    ~peer_listener();
    peer_listener(const peer_listener&) = delete;
    peer_listener& operator=(const peer_listener&) = delete;

private:
    void on_readable(ev::io& watcher, int events);

    int descriptor_;
    accept_handler on_accept_;
    ev::io watcher_;
};

} // namespace curranthoist::wire
