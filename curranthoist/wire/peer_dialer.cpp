#include "curranthoist/wire/peer_dialer.hpp"

#include "curranthoist/base/socket_address.hpp"

#include <algorithm>
#include <cerrno>

#include <sys/socket.h>
#include <unistd.h>

namespace curranthoist::wire {

peer_dialer::peer_dialer(ev::loop_ref loop, base::endpoint remote,
                         connect_handler on_connect, message_handler on_message,
                         close_handler on_close)
    : loop_(loop)
    , remote_(std::move(remote))
    , on_connect_(std::move(on_connect))
    , on_message_(std::move(on_message))
    , on_close_(std::move(on_close))
    , connect_watcher_(loop)
    , timer_(loop)
{
    connect_watcher_.set<peer_dialer, &peer_dialer::on_connect_event>(this);
    timer_.set<peer_dialer, &peer_dialer::on_timer>(this);
    // The first attempt starts from the loop, after the owner is fully built.
    timer_.start(0.0);
}

peer_dialer::~peer_dialer()
{
    abandon_attempt();
}

bool peer_dialer::send_frame(std::vector<std::uint8_t> frame)
{
    if (!is_connected()) {
        return false;
    }
    connection_->send_frame(std::move(frame));
    return true;
}

std::size_t peer_dialer::queued_bytes() const
{
    return is_connected() ? connection_->queued_bytes() : 0;
}

void peer_dialer::reconnect()
{
    if (connection_) {
        // The object is kept until the next connect, because this may run in its handler.
        connection_->close();
    }
    connected_ = false;
    abandon_attempt();
    delay_ = min_delay;
    timer_.start(0.0);
}

void peer_dialer::abandon_attempt()
{
    timer_.stop();
    connect_watcher_.stop();
    if (connecting_ >= 0) {
        ::close(connecting_);
        connecting_ = -1;
    }
}

void peer_dialer::start_connecting()
{
    connecting_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (connecting_ < 0) {
        retry_later();
        return;
    }
    const sockaddr_in address = base::socket_address(remote_);
    const int result = ::connect(connecting_, reinterpret_cast<const sockaddr*>(&address),
                                 sizeof address);
    if (result != 0 && errno != EINPROGRESS) {
        retry_later();
        return;
    }
    connect_watcher_.start(connecting_, ev::WRITE);
    timer_.start(connect_limit.seconds());
}

void peer_dialer::on_connect_event(ev::io& /*watcher*/, int /*events*/)
{
    int error = 0;
    socklen_t length = sizeof error;
    getsockopt(connecting_, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) {
        retry_later();
        return;
    }
    connect_watcher_.stop();
    timer_.stop();
    const int descriptor = connecting_;
    connecting_ = -1;
    connection_ = std::make_unique<peer_connection>(
        loop_, descriptor, on_message_,
        [this](const std::string& reason) { connection_lost(reason); });
    connection_->count_traffic(traffic_);
    connected_ = true;
    delay_ = min_delay;
    on_connect_();
}

void peer_dialer::on_timer(ev::timer& /*watcher*/, int /*events*/)
{
    if (connecting_ >= 0) {
        retry_later();
        return;
    }
    start_connecting();
}

void peer_dialer::retry_later()
{
    abandon_attempt();
    timer_.start(delay_.seconds());
    delay_ = std::min(delay_ * 2, max_delay);
}

void peer_dialer::connection_lost(const std::string& reason)
{
    connected_ = false;
    retry_later();
    on_close_(reason);
}

} // namespace curranthoist::wire
