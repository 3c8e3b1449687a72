#include "curranthoist/testing/tcp_forwarder.hpp"

#include "curranthoist/base/socket_address.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

namespace curranthoist::testing {

namespace {

// Bytes held back in one direction; the sender's own buffers hold the rest.
constexpr std::size_t max_waiting = std::size_t{256} * 1024;
// How long a change of cut() can wait for the thread.
constexpr int poll_limit_ms = 5;
constexpr int backlog = 128;

int new_socket()
{
    return ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
}

bool would_block()
{
    return errno == EAGAIN || errno == EINPROGRESS || errno == ENOTCONN;
}

} // namespace

tcp_forwarder::tcp_forwarder(const base::endpoint& listen, base::endpoint upstream)
    : upstream_(std::move(upstream))
    , listener_(new_socket())
{
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = base::socket_address(listen);
    if (::bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
            0 ||
        ::listen(listener_, backlog) != 0) {
        const int error = errno;
        ::close(listener_);
        throw std::system_error(error, std::generic_category(),
                                "cannot listen on " + listen.str());
    }
    thread_ = std::thread([this] { run(); });
}

tcp_forwarder::~tcp_forwarder()
{
    stop_ = true;
    thread_.join();
    for (const connection& one : connections_) {
        close_both(one);
    }
    ::close(listener_);
}

void tcp_forwarder::cut(bool to_upstream, bool from_upstream)
{
    up_cut_ = to_upstream;
    down_cut_ = from_upstream;
}

void tcp_forwarder::run()
{
    while (!stop_) {
        poll_once();
    }
}

bool tcp_forwarder::is_cut(const connection& one, const lane& way) const
{
    return one.silent || (way.upwards ? up_cut_ : down_cut_);
}

void tcp_forwarder::add_poll(std::vector<pollfd>& list, const connection& one) const
{
    // A descriptor that must not be read is left out, so that its end is not seen either.
    for (const lane* way : {&one.up, &one.down}) {
        if (is_cut(one, *way)) {
            continue;
        }
        if (!way->ended && way->waiting.size() < max_waiting) {
            list.push_back({way->from, POLLIN, 0});
        }
        if (!way->waiting.empty() &&
            std::chrono::steady_clock::now() >= way->held_until) {
            list.push_back({way->to, POLLOUT, 0});
        }
    }
}

void tcp_forwarder::poll_once()
{
    std::vector<pollfd> list{{listener_, POLLIN, 0}};
    for (const connection& one : connections_) {
        add_poll(list, one);
    }
    ::poll(list.data(), list.size(), poll_limit_ms);
    if (silenced_seen_ != silenced_) {
        silenced_seen_ = silenced_;
        std::for_each(connections_.begin(), connections_.end(),
                      [](connection& one) { one.silent = true; });
    }
    if (resets_seen_ != resets_) {
        resets_seen_ = resets_;
        reset_all();
    }
    if ((list.front().revents & POLLIN) != 0) {
        accept_one();
    }
    connections_.remove_if([this](connection& one) {
        const bool whole = move(one, one.up) && move(one, one.down);
        const bool done = one.up.ended && one.down.ended;
        if (whole && !done) {
            return false;
        }
        close_both(one);
        return true;
    });
}

void tcp_forwarder::accept_one()
{
    const int client =
        ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (client < 0) {
        return;
    }
    const int server = new_socket();
    const sockaddr_in address = base::socket_address(upstream_);
    if (::connect(server, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
            0 &&
        !would_block()) {
        ::close(server);
        ::close(client);
        return;
    }
    connections_.push_back({{client, server, true}, {server, client, false}});
}

bool tcp_forwarder::move(const connection& one, lane& way)
{
    if (is_cut(one, way)) {
        return true;
    }
    const auto now = std::chrono::steady_clock::now();
    std::array<char, 65536> buffer{};
    if (!way.ended && way.waiting.size() < max_waiting) {
        const ssize_t received = ::recv(way.from, buffer.data(), buffer.size(), 0);
        if (received < 0 && !would_block()) {
            return false;
        }
        way.ended = received == 0;
        if (received > 0) {
            way.waiting.append(buffer.data(), static_cast<std::size_t>(received));
            if (delay_ms_ > 0) {
                way.held_until = now + std::chrono::milliseconds(delay_ms_);
            }
        }
    }
    if (!way.waiting.empty() && now >= way.held_until) {
        const ssize_t sent =
            ::send(way.to, way.waiting.data(), way.waiting.size(), MSG_NOSIGNAL);
        if (sent < 0 && !would_block()) {
            return false;
        }
        way.waiting.erase(0, sent > 0 ? static_cast<std::size_t>(sent) : 0);
        forwarded_ += sent > 0 ? static_cast<std::size_t>(sent) : 0;
    }
    if (way.ended && way.waiting.empty()) {
        ::shutdown(way.to, SHUT_WR);
    }
    return true;
}

void tcp_forwarder::reset_all()
{
    // Closing a socket that lingers for no time resets its connection.
    const linger at_once{1, 0};
    for (const connection& one : connections_) {
        setsockopt(one.up.from, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        setsockopt(one.up.to, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        close_both(one);
    }
    connections_.clear();
}

void tcp_forwarder::close_both(const connection& one)
{
    ::close(one.up.from);
    ::close(one.up.to);
}

} // namespace curranthoist::testing
