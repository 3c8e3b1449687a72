#pragma once

#include "curranthoist/base/logger.hpp"
#include "curranthoist/entry/part_server.hpp"
#include "curranthoist/wire/peer_account.hpp"
#include "curranthoist/wire/peer_connection.hpp"
#include "curranthoist/wire/peer_listener.hpp"

#include <ev++.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace curranthoist::entry {

// Accepts other entry VMs and serves the parts and orders that they send for targets of
// this VM. A connection that sends anything else is closed.
class relay_server
{
public:
    // Throws std::system_error if the address can't be bound.
    relay_server(ev::loop_ref loop, const base::endpoint& local, base::vm_id self,
                 std::size_t max_parts, part_server& own, deferred_calls& deferred,
                 wire::peer_account::limits accepted);

    // Bytes of replies that wait to be sent.
    [[nodiscard]] std::size_t queued_bytes() const;

private:
    struct session
    {
        std::unique_ptr<wire::peer_connection> connection;
        // Named by its hello; empty before.
        base::vm_id peer;
    };

    void on_accept(int descriptor);
    void on_message(std::uint64_t number, const wire::envelope& message);
    bool on_hello(session& from, const wire::hello& message);
    bool on_parts(std::uint64_t number, const session& from,
                  const wire::parts_request& message);
    bool on_order(std::uint64_t number, const session& from,
                  const wire::order_request& message);
    bool on_cancel(const session& from, const wire::part_cancel& message);
    template <class Message>
    void reply(std::uint64_t number, Message message);
    void close(std::uint64_t number, const std::string& reason);

    ev::loop_ref loop_;
    base::vm_id self_;
    std::size_t max_parts_;
    part_server& own_;
    deferred_calls& deferred_;
    std::shared_ptr<wire::peer_account> account_;
    base::logger log_{"relay"};
    std::uint64_t last_session_ = 0;
    std::map<std::uint64_t, session> sessions_;
    wire::peer_listener listener_;
};

} // namespace curranthoist::entry
