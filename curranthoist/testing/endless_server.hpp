#pragma once

#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/http/internal/listening_socket.hpp"

#include <atomic>
#include <cerrno>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace curranthoist::testing {

// Answers each request with `head` and then repeats `filler` until the caller closes, on
// a thread a connection, as fast as the caller reads.
class endless_server
{
public:
    endless_server(std::string head, std::string filler,
                   const base::endpoint& local = {"127.0.0.1", 0})
        : head_(std::move(head))
        , filler_(std::move(filler))
        , listener_(http::internal::open_listening_socket(local))
        , accepting_([this] { accept_all(); })
    {}
    ~endless_server()
    {
        stopping_ = true;
        accepting_.join();
        ::close(listener_);
        for (std::thread& one : senders_) {
            one.join();
        }
    }
    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;

    [[nodiscard]] base::endpoint local() const
    {
        return http::internal::bound_endpoint(listener_);
    }
    // Callers that have closed their connections.
    [[nodiscard]] int closed() const { return closed_; }

private:
    void accept_all()
    {
        constexpr int poll_ms = 20;
        while (!stopping_) {
            pollfd waited{listener_, POLLIN, 0};
            if (::poll(&waited, 1, poll_ms) == 1) {
                const int peer = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
                senders_.emplace_back([this, peer] { serve(peer); });
            }
        }
    }
    void serve(int peer)
    {
        constexpr timeval send_limit{0, 200'000};
        setsockopt(peer, SOL_SOCKET, SO_SNDTIMEO, &send_limit, sizeof send_limit);
        char request[4096];
        bool open = ::recv(peer, request, sizeof request, 0) > 0 && send_all(peer, head_);
        while (open && !stopping_) {
            open = send_all(peer, filler_);
        }
        closed_ += open ? 0 : 1;
        ::close(peer);
    }
    bool send_all(int peer, std::string_view bytes) const
    {
        while (!bytes.empty() && !stopping_) {
            const ssize_t count = ::send(peer, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count < 0 && errno != EAGAIN && errno != EINTR) {
                return false;
            }
            bytes.remove_prefix(count < 0 ? 0 : static_cast<std::size_t>(count));
        }
        return true;
    }

    std::string head_;
    std::string filler_;
    int listener_;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> closed_ = 0;
    std::vector<std::thread> senders_;
    std::thread accepting_;
};

} // namespace curranthoist::testing
