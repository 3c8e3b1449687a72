#include "curranthoist/http/internal/listening_socket.hpp"

#include "curranthoist/base/socket_address.hpp"

#include <array>
#include <cerrno>
#include <cstdint>
#include <system_error>

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace curranthoist::http::internal {

namespace {

constexpr int accept_backlog = 1024;
// What has arrived on a connection and was not read takes memory of the VM, so the window
// of each connection is bounded. The kernel doubles it.
constexpr int receive_buffer_bytes = 32 * 1024;

bool bind_and_listen(int descriptor, const base::endpoint& local)
{
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    // Connections take it over from the listening socket.
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
               sizeof receive_buffer_bytes);
    // An address that is not IPv4 would be taken for any address.
    if (!base::endpoint::parse(local.address + ":1")) {
        errno = EADDRNOTAVAIL;
        return false;
    }
    const sockaddr_in address = base::socket_address(local);
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

bool refuse_new_handshakes(int listener)
{
    // The filter sees a packet from its TCP header on. Its result is the number of bytes
    // to keep; 0 drops the packet.
    constexpr std::uint32_t flags_offset = 13;
    constexpr std::uint32_t syn_and_ack = 0x12;
    constexpr std::uint32_t syn = 0x02;
    constexpr std::uint32_t whole_packet = 0xFFFFFFFF;
    std::array<sock_filter, 5> code{{
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flags_offset),
        BPF_STMT(BPF_ALU | BPF_AND | BPF_K, syn_and_ack),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, syn, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0),
        BPF_STMT(BPF_RET | BPF_K, whole_packet),
    }};
    const sock_fprog program{code.size(), code.data()};
    return setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) ==
           0;
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
