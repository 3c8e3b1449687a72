#pragma once

#include "curranthoist/base/logger.hpp"
#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/base/zone_traffic.hpp"
#include "curranthoist/consensus/member.hpp"
#include "curranthoist/consensus/messages.hpp"
#include "curranthoist/consensus/peer_session.hpp"
#include "curranthoist/wire/peer_account.hpp"
#include "curranthoist/wire/peer_dialer.hpp"
#include "curranthoist/wire/peer_listener.hpp"

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace curranthoist::consensus {

// The connections of one member: a dialer to every other member for requests, and the
// control listener. Replies go back on the connection that brought the request, so each
// connection shows by itself whether the other end still answers.
class peer_links
{
public:
    struct link_options
    {
        base::member_id self;
        base::zone_id zone;
        base::incarnation incarnation;
        base::endpoint listen;
        wire::peer_account::limits accepted = {};
        // Counts what this member sends to others; null for nobody. Must outlive the
        // links.
        base::zone_traffic* traffic = nullptr;
        // Where others reach this member, told to those that it dials; empty to tell
        // nothing.
        base::endpoint address = {};
        // Receives where a member that dialed this process is reached, once for each of
        // its connections; may be empty.
        std::function<void(const base::endpoint&)> on_dialed_by = {};
    };
    using message_handler = std::function<void(const message_body&)>;
    // Receives the session of an entry VM and its hello, which is valid during the call.
    // This side's hello has been sent.
    using entry_handler =
        std::function<void(std::unique_ptr<peer_session>, const wire::hello&)>;

    // A dialer that has sent for this long without a message from the peer connects anew.
    static constexpr base::duration silence_limit{2000};
    // Requests to a peer that has not taken this many queued bytes are dropped; the
    // replica sends them again.
    static constexpr std::size_t max_queued_bytes = std::size_t{8} * 1024 * 1024;

    // Accepted connections of other members and of processes that have sent no hello yet;
    // an entry VM's session leaves this count with its hello.
    static constexpr std::size_t max_accepted = 1024;

    // Throws std::system_error if the endpoint can't be bound.
    peer_links(ev::loop_ref loop, link_options options, message_handler on_message,
               entry_handler on_entry);
    ~peer_links();
    peer_links(const peer_links&) = delete;
    peer_links& operator=(const peer_links&) = delete;

    // Dials these members, apart from this one, and drops the dialers to all others.
    void set_members(std::span<const member> members);
    // Sends a message if there is a connection to its receiver; drops it otherwise.
    void send(const outgoing_message& message);

private:
    struct dialed_peer;
    struct accepted_peer;

    void on_accept(int descriptor);
    void on_accepted_message(accepted_peer& peer, const wire::envelope& message);
    void on_hello(accepted_peer& peer, const wire::hello& hello);
    void drop_accepted(const accepted_peer* peer);
    void on_dialed_message(dialed_peer& peer, const wire::envelope& message);
    void dial(const member& peer);
    // Counts a frame to a member of this zone; nothing before its hello named it.
    void count_sent(const base::zone_id& zone, std::size_t bytes);
    void reconnect_if_silent(dialed_peer& peer);
    [[nodiscard]] wire::hello_message own_hello() const;

    ev::loop_ref loop_;
    link_options options_;
    message_handler on_message_;
    entry_handler on_entry_;
    base::logger log_{"consensus"};
    base::monotonic_clock clock_;
    std::map<base::member_id, std::unique_ptr<dialed_peer>> dialed_;
    std::vector<std::unique_ptr<accepted_peer>> accepted_;
    std::shared_ptr<wire::peer_account> account_;
    wire::peer_listener listener_;
};

} // namespace curranthoist::consensus
