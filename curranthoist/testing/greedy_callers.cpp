#include "curranthoist/testing/greedy_callers.hpp"

#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/base/socket_address.hpp"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <vector>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace curranthoist::testing {

struct greedy_callers::connection
{
    int descriptor = -1;
    std::size_t sent = 0;
    base::instant next_piece;
};

greedy_callers::greedy_callers(greedy_plan plan)
    : plan_(std::move(plan))
    , thread_([this] { run(); })
{}

greedy_callers::~greedy_callers()
{
    stopping_ = true;
    thread_.join();
}

void greedy_callers::wait_until_settled(
    std::span<const std::unique_ptr<greedy_callers>> crowds)
{
    constexpr std::chrono::milliseconds quiet{1000};
    constexpr int max_waits = 20;
    std::size_t before = 0;
    for (int i = 0; i < max_waits; ++i) {
        std::this_thread::sleep_for(quiet);
        std::size_t now = 0;
        for (const auto& one : crowds) {
            now += one->sent_bytes();
        }
        if (now == before && now > 0) {
            return;
        }
        before = now;
    }
}

void greedy_callers::open(connection& one)
{
    one = {};
    one.descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    // What the server sends soon has no room.
    const int receive_bytes = 2048;
    setsockopt(one.descriptor, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
               sizeof receive_bytes);
    const sockaddr_in address = base::socket_address(plan_.server);
    ++opened_;
    if (::connect(one.descriptor, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0 &&
        errno != EINPROGRESS) {
        ::close(one.descriptor);
        one.descriptor = -1;
    }
}

void greedy_callers::send_piece(connection& one)
{
    const base::instant now = base::monotonic_clock().now();
    if (one.sent == plan_.bytes.size() || now < one.next_piece) {
        return;
    }
    const std::size_t size = std::min(plan_.piece_bytes, plan_.bytes.size() - one.sent);
    const ssize_t taken =
        ::send(one.descriptor, plan_.bytes.data() + one.sent, size, MSG_NOSIGNAL);
    if (taken > 0) {
        one.sent += static_cast<std::size_t>(taken);
        sent_bytes_ += static_cast<std::size_t>(taken);
        one.next_piece = now + plan_.piece_pause;
    }
}

void greedy_callers::run()
{
    constexpr int wait_ms = 2;
    std::vector<connection> connections(plan_.connections);
    std::vector<pollfd> polled(connections.size());
    while (!stopping_) {
        for (std::size_t i = 0; i < connections.size(); ++i) {
            connection& one = connections[i];
            if (one.descriptor < 0 &&
                opened_ < std::max(plan_.max_opened, plan_.connections)) {
                open(one);
            }
            polled[i] = {one.descriptor, POLLRDHUP, 0};
        }
        ::poll(polled.data(), polled.size(), wait_ms);
        for (std::size_t i = 0; i < connections.size(); ++i) {
            connection& one = connections[i];
            if (one.descriptor >= 0 && polled[i].revents != 0) {
                ::close(one.descriptor);
                one.descriptor = -1;
            }
            if (one.descriptor >= 0) {
                send_piece(one);
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    for (const connection& one : connections) {
        if (one.descriptor >= 0) {
            ::close(one.descriptor);
        }
    }
}

} // namespace curranthoist::testing
