#pragma once

#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/http/internal/listening_socket.hpp"

#include <atomic>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace curranthoist::testing {

// Sends bytes on the connection that brought a request.
using raw_sender = std::function<void(std::string_view bytes)>;

// What a raw_target answers with. It is called from the threads of several connections.
template <class Script>
concept raw_script = requires(Script script, std::string_view request,
                              const raw_sender& send)
{
    script.answer(request, send);
};

// The value of a request's header line; empty if it has none of that name.
inline std::string raw_header(std::string_view request, std::string_view name)
{
    const std::size_t at = request.find(std::string(name) + ": ");
    if (at == std::string_view::npos) {
        return {};
    }
    const std::string_view rest = request.substr(at + name.size() + 2);
    return std::string(rest.substr(0, rest.find("\r\n")));
}

// A target whose answers are bytes of any kind, for what no HTTP library sends. It serves
// each connection on a thread, and takes requests without a body or with the body
// "order".
template <raw_script Script>
class raw_target
{
public:
    raw_target(const base::endpoint& local, std::string id)
        : script_(std::move(id))
        , listener_(http::internal::open_listening_socket(local))
        , accepting_([this] { accept_all(); })
    {}
    ~raw_target()
    {
        stopping_ = true;
        accepting_.join();
        ::close(listener_);
        for (std::thread& one : serving_) {
            one.join();
        }
    }
    raw_target(const raw_target&) = delete;
    raw_target& operator=(const raw_target&) = delete;

    [[nodiscard]] Script& script() { return script_; }

private:
    static constexpr int poll_ms = 20;

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
        const raw_sender send = [peer](std::string_view bytes) {
            ::send(peer, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        };
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
                script_.answer(std::exchange(input, {}), send);
            }
        }
        ::close(peer);
    }
    static bool is_whole(std::string_view input)
    {
        return input.find("\r\n\r\n") != std::string_view::npos &&
               (!input.starts_with("POST") || input.ends_with("order"));
    }

    Script script_;
    int listener_;
    std::atomic<bool> stopping_ = false;
    std::vector<std::thread> serving_;
    std::thread accepting_;
};

} // namespace curranthoist::testing
