#include "curranthoist/consensus/peer_links.hpp"

#include "curranthoist/consensus/wire_codec.hpp"

#include <algorithm>
#include <utility>

#include <unistd.h>

namespace curranthoist::consensus {

namespace {

base::zone_id zone_of(const wire::hello& hello)
{
    return base::zone_id(hello.zone() == nullptr ? "" : hello.zone()->str());
}

} // namespace

struct peer_links::dialed_peer
{
    member remote;
    // Empty until its hello.
    base::zone_id zone;
    // True once the hello at the other end named this member.
    bool confirmed = false;
    // The time of the first message sent since the last one received.
    std::optional<base::instant> unanswered_since;
    std::unique_ptr<wire::peer_dialer> dialer;
};

struct peer_links::accepted_peer
{
    // Empty until the hello.
    base::member_id id;
    base::zone_id zone;
    std::unique_ptr<peer_session> session;
};

peer_links::peer_links(ev::loop_ref loop, link_options options,
                       message_handler on_message, entry_handler on_entry)
    : loop_(loop)
    , options_(std::move(options))
    , on_message_(std::move(on_message))
    , on_entry_(std::move(on_entry))
    , account_(std::make_shared<wire::peer_account>(options_.accepted))
    , listener_(loop, options_.listen, [this](int descriptor) { on_accept(descriptor); })
{}

peer_links::~peer_links() = default;

wire::hello_message peer_links::own_hello() const
{
    wire::hello_message hello;
    hello.protocol = wire::protocol_version;
    hello.sender = wire::role::control;
    hello.id = options_.self.str();
    hello.zone = options_.zone.str();
    hello.incarnation = options_.incarnation.value();
    if (!options_.address.address.empty()) {
        hello.member_address = options_.address.str();
    }
    return hello;
}

void peer_links::set_members(std::span<const member> members)
{
    // A member that lost its disk and its successor share an address, where only the
    // successor, the later one, can be. Two connections from here to one process would
    // replace each other there again and again.
    const auto is_successor = [&](const member& one) {
        const auto last =
            std::find_if(members.rbegin(), members.rend(), [&](const member& other) {
                return other.address == one.address;
            });
        return last->id == one.id;
    };
    const auto keeps = [&](const dialed_peer& peer) {
        return std::any_of(members.begin(), members.end(), [&](const member& one) {
            return one.id == peer.remote.id && one.address == peer.remote.address &&
                   is_successor(one);
        });
    };
    std::erase_if(dialed_, [&](const auto& one) { return !keeps(*one.second); });
    for (const member& one : members) {
        if (one.id != options_.self && !dialed_.contains(one.id) && is_successor(one)) {
            dial(one);
        }
    }
}

void peer_links::dial(const member& remote)
{
    auto& peer = *(dialed_[remote.id] = std::make_unique<dialed_peer>());
    peer.remote = remote;
    peer.dialer = std::make_unique<wire::peer_dialer>(
        loop_, remote.address,
        [this, &peer] {
            peer.confirmed = false;
            peer.unanswered_since.reset();
            peer.dialer->send(own_hello());
        },
        [this, &peer](const wire::envelope& message) {
            on_dialed_message(peer, message);
        },
        [&peer](const std::string&) { peer.confirmed = false; });
}

void peer_links::on_dialed_message(dialed_peer& peer, const wire::envelope& message)
{
    peer.unanswered_since.reset();
    if (const wire::hello* hello = message.body_as_hello()) {
        const std::string id = hello->id() == nullptr ? "" : hello->id()->str();
        peer.zone = zone_of(*hello);
        peer.confirmed = hello->protocol() == wire::protocol_version &&
                         hello->sender() == wire::role::control &&
                         id == peer.remote.id.str();
        if (!peer.confirmed) {
            log_.warn("peer at " + peer.remote.address.str() + " is '" + id + "', not '" +
                      peer.remote.id.str() + "'");
        }
        return;
    }
    const std::optional<message_body> body = from_envelope(message);
    if (peer.confirmed && body && is_reply(*body)) {
        on_message_(*body);
    }
}

void peer_links::on_accept(int descriptor)
{
    if (accepted_.size() >= max_accepted) {
        log_.warn("closed a connection because too many have sent no hello");
        ::close(descriptor);
        return;
    }
    auto& peer = *accepted_.emplace_back(std::make_unique<accepted_peer>());
    peer.session = std::make_unique<peer_session>(loop_, descriptor, account_);
    peer.session->set_handlers(
        [this, &peer](const wire::envelope& message) {
            on_accepted_message(peer, message);
        },
        [this, &peer](const std::string&) { drop_accepted(&peer); });
    peer.session->expect_message_within(wire::hello_limit);
    peer.session->send(own_hello());
}

void peer_links::on_accepted_message(accepted_peer& peer, const wire::envelope& message)
{
    if (const wire::hello* hello = message.body_as_hello()) {
        on_hello(peer, *hello);
        return;
    }
    const std::optional<message_body> body = from_envelope(message);
    if (peer.id.empty() || !body || is_reply(*body)) {
        log_.warn("closed a connection whose peer sent an unexpected message");
        drop_accepted(&peer);
        return;
    }
    on_message_(*body);
}

void peer_links::on_hello(accepted_peer& peer, const wire::hello& hello)
{
    const bool has_id = hello.id() != nullptr && !hello.id()->str().empty();
    if (!peer.id.empty() || !has_id || hello.protocol() != wire::protocol_version) {
        log_.warn("closed a connection whose hello is not acceptable");
        drop_accepted(&peer);
        return;
    }
    if (hello.sender() == wire::role::entry) {
        std::unique_ptr<peer_session> session = std::move(peer.session);
        session->set_handlers({}, {});
        drop_accepted(&peer);
        if (on_entry_) {
            on_entry_(std::move(session), hello);
        }
        return;
    }
    const base::member_id id(hello.id()->str());
    // A new connection of the same member replaces one that has gone silent.
    std::erase_if(accepted_, [&](const auto& other) { return other->id == id; });
    peer.id = id;
    peer.zone = zone_of(hello);
    const auto address = hello.member_address() == nullptr
                             ? std::nullopt
                             : base::endpoint::parse(hello.member_address()->str());
    if (address && options_.on_dialed_by) {
        options_.on_dialed_by(*address);
    }
}

void peer_links::drop_accepted(const accepted_peer* peer)
{
    std::erase_if(accepted_, [&](const auto& one) { return one.get() == peer; });
}

void peer_links::send(const outgoing_message& message)
{
    if (is_reply(message.body)) {
        const auto found =
            std::find_if(accepted_.begin(), accepted_.end(),
                         [&](const auto& one) { return one->id == message.to; });
        if (found != accepted_.end()) {
            auto frame = to_frame(message.body);
            count_sent((*found)->zone, frame.size());
            (*found)->session->send_frame(std::move(frame));
        }
        return;
    }
    const auto found = dialed_.find(message.to);
    if (found == dialed_.end()) {
        return;
    }
    dialed_peer& peer = *found->second;
    reconnect_if_silent(peer);
    if (!peer.confirmed || !peer.dialer->is_connected() ||
        peer.dialer->queued_bytes() > max_queued_bytes) {
        return;
    }
    if (!peer.unanswered_since) {
        peer.unanswered_since = clock_.now();
    }
    auto frame = to_frame(message.body);
    count_sent(peer.zone, frame.size());
    peer.dialer->send_frame(std::move(frame));
}

void peer_links::count_sent(const base::zone_id& zone, std::size_t bytes)
{
    if (options_.traffic != nullptr && !zone.empty()) {
        base::traffic_count& count =
            options_.traffic->with(base::traffic_cause::log, zone);
        count.sent_bytes += bytes;
        ++count.messages;
    }
}

void peer_links::reconnect_if_silent(dialed_peer& peer)
{
    if (peer.unanswered_since && clock_.now() - *peer.unanswered_since > silence_limit) {
        log_.warn("member " + peer.remote.id.str() +
                  " has stopped answering on its connection; connecting again");
        peer.confirmed = false;
        peer.unanswered_since.reset();
        peer.dialer->reconnect();
    }
}

} // namespace curranthoist::consensus
