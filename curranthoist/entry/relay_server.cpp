#include "curranthoist/entry/relay_server.hpp"

#include "curranthoist/entry/request_id_text.hpp"

#include <utility>

namespace curranthoist::entry {

namespace {

template <class Message>
bool has_request_id(const Message& message)
{
    return message.request_id() != nullptr &&
           is_request_id(message.request_id()->string_view());
}

} // namespace

relay_server::relay_server(ev::loop_ref loop, const base::endpoint& local,
                           base::vm_id self, std::size_t max_parts, part_server& own,
                           deferred_calls& deferred, wire::peer_account::limits accepted)
    : loop_(loop)
    , self_(std::move(self))
    , max_parts_(max_parts)
    , own_(own)
    , deferred_(deferred)
    , account_(std::make_shared<wire::peer_account>(accepted))
    , listener_(loop, local, [this](int descriptor) { on_accept(descriptor); })
{}

void relay_server::on_accept(int descriptor)
{
    const std::uint64_t number = ++last_session_;
    sessions_[number].connection = std::make_unique<wire::peer_connection>(
        loop_, descriptor,
        [this, number](const wire::envelope& message) { on_message(number, message); },
        [this, number](const std::string& reason) { close(number, reason); }, account_);
    sessions_[number].connection->expect_message_within(wire::hello_limit);
}

void relay_server::on_message(std::uint64_t number, const wire::envelope& message)
{
    const auto found = sessions_.find(number);
    if (found == sessions_.end()) {
        return;
    }
    session& from = found->second;
    bool accepted = false;
    if (const wire::hello* hello = message.body_as_hello()) {
        accepted = on_hello(from, *hello);
    }
    else if (from.peer.empty()) {
        accepted = false;
    }
    else if (const wire::parts_request* parts = message.body_as_parts_request()) {
        accepted = on_parts(number, from, *parts);
    }
    else if (const wire::order_request* order = message.body_as_order_request()) {
        accepted = on_order(number, from, *order);
    }
    else if (const wire::part_cancel* cancel = message.body_as_part_cancel()) {
        accepted = on_cancel(from, *cancel);
    }
    if (!accepted) {
        close(number, "unexpected or malformed message");
    }
}

bool relay_server::on_hello(session& from, const wire::hello& message)
{
    if (message.protocol() != wire::protocol_version || message.id() == nullptr ||
        message.sender() != wire::role::entry) {
        return false;
    }
    from.peer = base::vm_id(message.id()->str());
    wire::hello_message answer;
    answer.protocol = wire::protocol_version;
    answer.sender = wire::role::entry;
    answer.id = self_.str();
    from.connection->send(std::move(answer));
    return !from.peer.empty();
}

bool relay_server::on_parts(std::uint64_t number, const session& from,
                            const wire::parts_request& message)
{
    if (message.parts() == nullptr || message.parts()->size() > max_parts_ ||
        !has_request_id(message)) {
        return false;
    }
    wire::parts_request_message request;
    message.UnPackTo(&request);
    own_.serve_parts(from.peer, request, [this, number](wire::part_reply_message answer) {
        reply(number, std::move(answer));
    });
    return true;
}

bool relay_server::on_order(std::uint64_t number, const session& from,
                            const wire::order_request& message)
{
    if (!has_request_id(message) || message.target() == nullptr) {
        return false;
    }
    wire::order_request_message request;
    message.UnPackTo(&request);
    own_.serve_order(from.peer, request,
                     [this, number](wire::order_reply_message answer) {
                         reply(number, std::move(answer));
                     });
    return true;
}

bool relay_server::on_cancel(const session& from, const wire::part_cancel& message)
{
    own_.cancel_part({from.peer, message.query_id(), message.part_id()});
    return true;
}

template <class Message>
void relay_server::reply(std::uint64_t number, Message message)
{
    const auto found = sessions_.find(number);
    if (found != sessions_.end()) {
        found->second.connection->send(std::move(message));
    }
}

std::size_t relay_server::queued_bytes() const
{
    std::size_t bytes = 0;
    for (const auto& [number, kept] : sessions_) {
        bytes += kept.connection->queued_bytes();
    }
    return bytes;
}

void relay_server::close(std::uint64_t number, const std::string& reason)
{
    const auto found = sessions_.find(number);
    if (found == sessions_.end()) {
        return;
    }
    const base::vm_id peer = found->second.peer;
    log_.info("closed the connection from VM " +
              (peer.empty() ? std::string("(unknown)") : peer.str()) + ": " + reason);
    sessions_.erase(found);
    bool reconnected = false;
    for (const auto& [other, kept] : sessions_) {
        reconnected = reconnected || kept.peer == peer;
    }
    if (!reconnected && !peer.empty()) {
        deferred_.post([this, peer] { own_.cancel_all_of(peer); });
    }
}

} // namespace curranthoist::entry
