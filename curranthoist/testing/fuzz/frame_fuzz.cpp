#include "curranthoist/wire/peer_connection.hpp"

#include <ev++.h>

#include <cstdint>
#include <cstdlib>
#include <memory>
#include <string>

#include <sys/socket.h>
#include <unistd.h>

// Bytes from a socket into a peer_connection, whose handler sends an answer, closes the
// connection or destroys it, depending on the message. The close handler is called at
// most once, and never after the handler closed the connection.

namespace curranthoist::testing::fuzz {

namespace {

void on_message(std::unique_ptr<wire::peer_connection>& connection,
                const wire::envelope& message)
{
    if (message.body_as_hello() != nullptr) {
        connection->send(wire::hello_message{});
    }
    else if (message.body_as_part_cancel() != nullptr) {
        connection->close();
    }
    else if (message.body_as_vote_reply() != nullptr) {
        connection.reset();
    }
}

void run(std::span<const std::uint8_t> input)
{
    int ends[2] = {-1, -1};
    if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends) != 0) {
        std::abort();
    }
    static ev::dynamic_loop loop;
    int closes = 0;
    std::unique_ptr<wire::peer_connection> connection;
    connection = std::make_unique<wire::peer_connection>(
        loop, ends[0],
        [&](const wire::envelope& message) { on_message(connection, message); },
        [&](const std::string& /*reason*/) { ++closes; });
    while (!input.empty() && connection && connection->is_open()) {
        const ssize_t sent = ::send(ends[1], input.data(), input.size(), MSG_NOSIGNAL);
        input = input.subspan(sent > 0 ? static_cast<std::size_t>(sent) : 0);
        loop.run(ev::NOWAIT);
    }
    ::close(ends[1]);
    loop.run(ev::NOWAIT);
    if (closes > 1) {
        std::abort();
    }
}

} // namespace

} // namespace curranthoist::testing::fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    curranthoist::testing::fuzz::run({data, size});
    return 0;
}
