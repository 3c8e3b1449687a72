#include "curranthoist/entry/peer_link.hpp"

#include <utility>

namespace curranthoist::entry {

namespace {

constexpr base::duration check_interval{100};

} // namespace

peer_link::peer_link(ev::loop_ref loop, base::vm_id self, base::vm_id peer,
                     const base::endpoint& address, handlers on)
    : self_(std::move(self))
    , peer_(std::move(peer))
    , on_(std::move(on))
    , timer_(loop)
    , dialer_(
          loop, address, [this] { on_connect(); },
          [this](const wire::envelope& message) { on_message(message); },
          [this](const std::string& reason) { on_close(reason); })
{
    timer_.set<peer_link, &peer_link::on_timer>(this);
    timer_.start(check_interval.seconds(), check_interval.seconds());
}

void peer_link::note_sent()
{
    if (waiting_since_ == base::instant()) {
        waiting_since_ = clock_.now();
    }
}

void peer_link::send_hello()
{
    wire::hello_message message;
    message.protocol = wire::protocol_version;
    message.sender = wire::role::entry;
    message.id = self_.str();
    send(std::move(message));
}

void peer_link::on_connect()
{
    waiting_since_ = base::instant();
    probed_ = false;
    send_hello();
    on_.on_change(true);
}

void peer_link::on_message(const wire::envelope& message)
{
    waiting_since_ = base::instant();
    probed_ = false;
    if (message.body_type() != wire::message::hello) {
        on_.on_message(message);
    }
}

void peer_link::on_close(const std::string& reason)
{
    log_.warn("lost VM " + peer_.str() + ": " + reason);
    on_.on_change(false);
}

void peer_link::on_timer(ev::timer& /*watcher*/, int /*events*/)
{
    if (!dialer_.is_connected() || waiting_since_ == base::instant()) {
        return;
    }
    const base::duration silence = clock_.now() - waiting_since_;
    if (silence >= silent_after && probed_) {
        log_.warn("connection to VM " + peer_.str() + " is silent; opening a new one");
        dialer_.reconnect();
        on_.on_change(false);
    }
    else if (silence >= probe_after && !probed_) {
        probed_ = true;
        send_hello();
    }
}

} // namespace curranthoist::entry
