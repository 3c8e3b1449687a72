#include "curranthoist/wire/peer_listener.hpp"

#include "curranthoist/base/socket_address.hpp"

#include <cerrno>
#include <system_error>

#include <sys/socket.h>
#include <unistd.h>

namespace curranthoist::wire {

namespace {

constexpr int accept_backlog = 256;

[[noreturn]] void throw_bind_error(int error, const base::endpoint& local)
{
    throw std::system_error(error, std::generic_category(),
                            "cannot listen on " + local.str());
}

int open_listener(const base::endpoint& local)
{
    const int descriptor =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        throw_bind_error(errno, local);
    }
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = base::socket_address(local);
    const bool bound = ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
                              sizeof address) == 0;
    if (!bound || ::listen(descriptor, accept_backlog) != 0) {
        const int error = errno;
        ::close(descriptor);
        throw_bind_error(error, local);
    }
    return descriptor;
}

} // namespace

peer_listener::peer_listener(ev::loop_ref loop, const base::endpoint& local,
                             accept_handler on_accept)
    : descriptor_(open_listener(local))
    , on_accept_(std::move(on_accept))
    , watcher_(loop)
{
    watcher_.set<peer_listener, &peer_listener::on_readable>(this);
    watcher_.start(descriptor_, ev::READ);
}

peer_listener::~peer_listener()
{
    watcher_.stop();
    ::close(descriptor_);
}

void peer_listener::on_readable(ev::io& /*watcher*/, int /*events*/)
{
    const int accepted =
        ::accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted >= 0) {
        on_accept_(accepted);
    }
}

} // namespace curranthoist::wire
