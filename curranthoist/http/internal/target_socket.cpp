#include "curranthoist/http/internal/target_socket.hpp"

#include "curranthoist/base/socket_address.hpp"

#include <cerrno>

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace curranthoist::http::internal {

namespace {

// Bytes that a target has not acknowledged for this time mean that it is gone.
constexpr unsigned unacknowledged_limit_ms = 5000;

} // namespace

int begin_connect(const base::endpoint& remote)
{
    const int descriptor =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return descriptor;
    }
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_limit_ms,
               sizeof unacknowledged_limit_ms);
    const sockaddr_in address = base::socket_address(remote);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0 &&
        errno != EINPROGRESS) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

bool has_connected(int descriptor)
{
    int error = 0;
    socklen_t length = sizeof error;
    getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
    return error == 0;
}

bool has_unexpected_input(int descriptor)
{
    char byte = 0;
    return ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
}

} // namespace curranthoist::http::internal
