#include "curranthoist/http/internal/listening_socket.hpp"

#include <array>
#include <cerrno>
#include <system_error>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace curranthoist::http::internal {

namespace {

constexpr int accept_backlog = 1024;

bool bind_and_listen(int descriptor, const base::endpoint& local)
{
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(local.port);
    if (inet_pton(AF_INET, local.address.c_str(), &address.sin_addr) != 1) {
        errno = EADDRNOTAVAIL;
        return false;
    }
    return ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) == 0 &&
           ::listen(descriptor, accept_backlog) == 0;
}

} // namespace

int open_listening_socket(const base::endpoint& local)
{
    const int descriptor =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0 || !bind_and_listen(descriptor, local)) {
        const int error = errno;
        if (descriptor >= 0) {
            ::close(descriptor);
        }
        throw std::system_error(error, std::generic_category(),
                                "cannot listen on " + local.str());
    }
    return descriptor;
}

base::endpoint bound_endpoint(int descriptor)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return {text.data(), ntohs(address.sin_port)};
}

} // namespace curranthoist::http::internal
