#pragma once

#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/http/internal/listening_socket.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace curranthoist::testing {

// A target that rejects each attempt the first time it comes, and sends a copy of that
// rejection late on the same connection. The second time it runs the attempt and answers
// slowly. It serves each connection on a thread.
class repeating_target
{
public:
    repeating_target(std::string id, const base::endpoint& local)
        : id_(std::move(id))
        , listener_(http::internal::open_listening_socket(local))
        , accepting_([this] { accept_all(); })
    {}
    ~repeating_target()
    {
        stopping_ = true;
        accepting_.join();
        ::close(listener_);
        for (std::thread& one : serving_) {
            one.join();
        }
    }
    repeating_target(const repeating_target&) = delete;
    repeating_target& operator=(const repeating_target&) = delete;

    [[nodiscard]] int runs_of(const std::string& attempt) const
    {
        const std::lock_guard lock(mutex_);
        const auto found = arrivals_.find(attempt);
        return found == arrivals_.end() ? 0 : std::max(0, found->second - 1);
    }

private:
    static constexpr int poll_ms = 20;
    static constexpr std::chrono::milliseconds copy_delay{20};
    static constexpr std::chrono::milliseconds work{200};

    void accept_all()
    {
        while (!stopping_) {
            pollfd waited{listener_, POLLIN, 0};
            if (::poll(&waited, 1, poll_ms) == 1) {
                const int peer = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
                serving_.emplace_back([this, peer] { serve(peer); });
            }
        }
    }
    void serve(int peer)
    {
        std::string input;
        while (!stopping_) {
            pollfd waited{peer, POLLIN, 0};
            if (::poll(&waited, 1, poll_ms) != 1) {
                continue;
            }
            char bytes[4096];
            const ssize_t size = ::recv(peer, bytes, sizeof bytes, 0);
            if (size <= 0) {
                break;
            }
            input.append(bytes, static_cast<std::size_t>(size));
            if (is_whole(input)) {
                answer(peer, std::exchange(input, {}));
            }
        }
        ::close(peer);
    }
    // Whether the head and the body "order" or no body have come.
    static bool is_whole(std::string_view input)
    {
        const std::size_t end = input.find("\r\n\r\n");
        return end != std::string_view::npos &&
               (!input.starts_with("POST") || input.ends_with("order"));
    }
    static std::string header(std::string_view input, std::string_view name)
    {
        const std::size_t at = input.find(std::string(name) + ": ");
        if (at == std::string_view::npos) {
            return {};
        }
        const std::string_view rest = input.substr(at + name.size() + 2);
        return std::string(rest.substr(0, rest.find("\r\n")));
    }
    static void send(int peer, std::string_view bytes)
    {
        ::send(peer, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    void answer(int peer, std::string_view request)
    {
        if (request.starts_with("GET /health")) {
            send(peer, "HTTP/1.1 200 OK\r\nInstance-Id: " + id_ +
                           "\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        const std::string attempt = header(request, "Attempt-Id");
        const std::string name = "Attempt-Id: " + attempt + "\r\n";
        int arrivals = 0;
        {
            const std::lock_guard lock(mutex_);
            arrivals = ++arrivals_[attempt];
        }
        if (arrivals > 1) {
            std::this_thread::sleep_for(work);
            send(peer, "HTTP/1.1 200 OK\r\n" + name + "Server-Stamp: " + id_ +
                           "\r\nContent-Length: 2\r\n\r\n{}");
            return;
        }
        const std::string rejection = "HTTP/1.1 503 Busy\r\n" + name +
                                      "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        send(peer, rejection);
        std::this_thread::sleep_for(copy_delay);
        send(peer, rejection);
    }

    std::string id_;
    int listener_;
    mutable std::mutex mutex_;
    std::map<std::string, int> arrivals_;
    std::atomic<bool> stopping_ = false;
    std::vector<std::thread> serving_;
    std::thread accepting_;
};

} // namespace curranthoist::testing
