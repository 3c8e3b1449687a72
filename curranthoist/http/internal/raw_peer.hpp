#pragma once

#include "curranthoist/base/socket_address.hpp"

#include <ev++.h>

#include <cerrno>
#include <functional>
#include <string>
#include <string_view>

#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace curranthoist::http::internal {

inline void ignore_event(ev::timer& /*watcher*/, int /*events*/) {}

// Runs the loop until the condition holds or `limit_s` seconds have passed; returns
// whether it holds. For tests.
inline bool run_until(ev::loop_ref loop, const std::function<bool()>& holds,
                      double limit_s = 5.0)
{
    constexpr double poll_s = 0.002;
    ev::timer poll(loop);
    poll.set<&ignore_event>();
    const double end = ev_time() + limit_s;
    poll.start(poll_s, poll_s);
    while (!holds() && ev_time() < end) {
        loop.run(ev::ONCE);
    }
    return holds();
}

// A client socket that sends and reads raw bytes, for tests.
class raw_peer
{
public:
    explicit raw_peer(const base::endpoint& remote)
        : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        // Bounds connect() and send() to a port that answers nothing.
        constexpr timeval send_limit{0, 200'000};
        setsockopt(descriptor_, SOL_SOCKET, SO_SNDTIMEO, &send_limit, sizeof send_limit);
        const sockaddr_in address = base::socket_address(remote);
        connected_ = ::connect(descriptor_, reinterpret_cast<const sockaddr*>(&address),
                               sizeof address) == 0;
    }
    ~raw_peer() { close(); }
    raw_peer(const raw_peer&) = delete;
    raw_peer& operator=(const raw_peer&) = delete;

    [[nodiscard]] bool connected() const { return connected_; }
    void send(std::string_view bytes) const
    {
        ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    // Blocks until something has arrived or the connection has ended; false after 5 s.
    bool wait_for_input() const
    {
        constexpr int limit_ms = 5000;
        pollfd waited{descriptor_, POLLIN, 0};
        return ::poll(&waited, 1, limit_ms) == 1;
    }
    // Reads what has arrived; notes the end of the connection.
    const std::string& read()
    {
        char buffer[4096];
        ssize_t count = 0;
        while ((count = ::recv(descriptor_, buffer, sizeof buffer, MSG_DONTWAIT)) > 0) {
            received_.append(buffer, static_cast<std::size_t>(count));
        }
        ended_ = ended_ || count == 0 || errno == ECONNRESET;
        return received_;
    }
    bool ended()
    {
        read();
        return ended_;
    }
    void close()
    {
        if (descriptor_ >= 0) {
            ::close(descriptor_);
            descriptor_ = -1;
        }
    }

private:
    int descriptor_;
    bool connected_ = false;
    bool ended_ = false;
    std::string received_;
};

} // namespace curranthoist::http::internal
