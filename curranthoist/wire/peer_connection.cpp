#include "curranthoist/wire/peer_connection.hpp"

#include "curranthoist/wire/internal/peer_load.hpp"
#include "curranthoist/wire/peer_account.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace curranthoist::wire {

namespace {

// Acknowledgements that are missing for this long end the connection. It is shorter than
// the kernel's retransmission limit of many minutes and longer than a lost packet or two.
constexpr unsigned unacknowledged_limit_ms = 5000;
constexpr std::size_t read_buffer_bytes = std::size_t{64} * 1024;

void set_socket_options(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_limit_ms,
               sizeof unacknowledged_limit_ms);
}

} // namespace

peer_connection::peer_connection(ev::loop_ref loop, int descriptor,
                                 message_handler on_message, close_handler on_close,
                                 std::shared_ptr<peer_account> account)
    : descriptor_(descriptor)
    , on_message_(std::move(on_message))
    , on_close_(std::move(on_close))
    , read_watcher_(loop)
    , write_watcher_(loop)
    , silence_timer_(loop)
    , account_(std::move(account))
    , opened_(clock_.now())
    , last_message_(opened_)
    , last_progress_(opened_)
{
    set_socket_options(descriptor_);
    read_watcher_.set<peer_connection, &peer_connection::on_readable>(this);
    write_watcher_.set<peer_connection, &peer_connection::on_writable>(this);
    silence_timer_.set<peer_connection, &peer_connection::on_silence>(this);
    read_watcher_.start(descriptor_, ev::READ);
    write_watcher_.set(descriptor_, ev::WRITE);
    if (account_) {
        account_->add(*this);
    }
}

peer_connection::~peer_connection()
{
    close();
}

void peer_connection::close()
{
    if (closed_in_handler_ != nullptr) {
        *closed_in_handler_ = true;
        closed_in_handler_ = nullptr;
    }
    if (descriptor_ < 0) {
        return;
    }
    read_watcher_.stop();
    write_watcher_.stop();
    silence_timer_.stop();
    ::close(descriptor_);
    descriptor_ = -1;
    body_ = std::vector<std::uint8_t>();
    queue_.clear();
    queued_bytes_ = 0;
    if (account_) {
        account_->give_back(counted_bytes_);
        account_->remove(*this);
        counted_bytes_ = 0;
    }
}

void peer_connection::give_way(std::string reason)
{
    gives_way_because_ = std::move(reason);
    read_watcher_.stop();
    write_watcher_.stop();
    body_ = std::vector<std::uint8_t>();
    queue_.clear();
    queued_bytes_ = 0;
    front_sent_ = 0;
    account_->give_back(counted_bytes_);
    counted_bytes_ = 0;
    account_->remove(*this);
    // The close handler may destroy what the caller works on.
    silence_timer_.start(0.0);
}

internal::peer_load peer_connection::load() const
{
    return {greeted_,       opened_,      last_message_, last_progress_,
            counted_bytes_, body_filled_, frame_began_};
}

bool peer_connection::count_held(std::size_t body_capacity)
{
    if (!account_) {
        return true;
    }
    const auto counted = [](std::size_t bytes) {
        return bytes > uncounted_bytes ? bytes : 0;
    };
    const std::size_t held = counted(body_capacity) + counted(queued_bytes_);
    if (held > counted_bytes_) {
        if (!account_->take(*this, held - counted_bytes_)) {
            return false;
        }
    }
    else {
        account_->give_back(counted_bytes_ - held);
    }
    counted_bytes_ = held;
    return true;
}

void peer_connection::expect_message_within(base::duration limit)
{
    if (is_open()) {
        silence_timer_.start(limit.seconds());
    }
}

void peer_connection::on_silence(ev::timer& /*watcher*/, int /*events*/)
{
    fail(gives_way_because_.empty() ? "no message in time" : gives_way_because_);
}

void peer_connection::fail(const std::string& reason)
{
    close();
    const close_handler handler = std::move(on_close_);
    on_close_ = nullptr;
    if (handler) {
        handler(reason);
    }
}

void peer_connection::send_frame(std::vector<std::uint8_t> frame)
{
    if (!is_open()) {
        return;
    }
    if (traffic_ != nullptr) {
        ++traffic_->messages;
    }
    if (queue_.empty()) {
        last_progress_ = clock_.now();
    }
    queued_bytes_ += frame.size();
    queue_.push_back(std::move(frame));
    if (!count_held(body_.capacity())) {
        give_way("no memory for frames that wait");
        return;
    }
    // The socket is written from the loop only, so that a failing write never destroys
    // the connection under its sender.
    write_watcher_.start();
}

void peer_connection::on_writable(ev::io& /*watcher*/, int /*events*/)
{
    write_queue();
}

void peer_connection::write_queue()
{
    while (!queue_.empty()) {
        const std::vector<std::uint8_t>& front = queue_.front();
        const ssize_t sent = ::send(descriptor_, front.data() + front_sent_,
                                    front.size() - front_sent_, MSG_NOSIGNAL);
        if (sent < 0) {
            if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) {
                break;
            }
            fail(std::string("write failed: ") + std::strerror(errno));
            return;
        }
        bytes_sent_ += static_cast<std::uint64_t>(sent);
        if (traffic_ != nullptr) {
            traffic_->sent_bytes += static_cast<std::uint64_t>(sent);
        }
        queued_bytes_ -= static_cast<std::size_t>(sent);
        front_sent_ += static_cast<std::size_t>(sent);
        last_progress_ = clock_.now();
        if (front_sent_ == front.size()) {
            queue_.pop_front();
            front_sent_ = 0;
        }
    }
    // It holds less than before, so that this never fails.
    count_held(body_.capacity());
    if (queue_.empty()) {
        write_watcher_.stop();
    }
    else if (queued_bytes_ > max_queued_bytes) {
        fail("peer reads too slowly");
    }
}

void peer_connection::on_readable(ev::io& /*watcher*/, int /*events*/)
{
    // A bounded number of reads per event keeps one busy peer from starving the others.
    constexpr int max_reads = 16;
    for (int i = 0; i < max_reads; ++i) {
        if (!read_some()) {
            return;
        }
    }
}

bool peer_connection::read_some()
{
    std::array<std::uint8_t, read_buffer_bytes> buffer;
    const ssize_t got = ::recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (got > 0) {
        bytes_received_ += static_cast<std::uint64_t>(got);
        if (traffic_ != nullptr) {
            traffic_->received_bytes += static_cast<std::uint64_t>(got);
        }
        return consume(static_cast<std::size_t>(got), buffer.data());
    }
    if (got == 0) {
        fail("closed by peer");
    }
    else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
        fail(std::string("read failed: ") + std::strerror(errno));
    }
    return false;
}

bool peer_connection::consume(std::size_t size, const std::uint8_t* bytes)
{
    while (size > 0) {
        if (prefix_.size() < frame_prefix_bytes) {
            const std::size_t wanted = frame_prefix_bytes - prefix_.size();
            const std::size_t taken = std::min(size, wanted);
            prefix_.insert(prefix_.end(), bytes, bytes + taken);
            bytes += taken;
            size -= taken;
            if (prefix_.size() < frame_prefix_bytes) {
                return true;
            }
            const std::size_t length = frame_length(prefix_);
            if (length == 0 || length > longest_frame()) {
                fail("frame length out of range");
                return false;
            }
            body_.clear();
            body_filled_ = 0;
            frame_began_ = clock_.now();
        }
        // The body grows with what has arrived, so that a stated length alone makes the
        // process allocate nothing.
        const std::size_t length = frame_length(prefix_);
        const std::size_t taken = std::min(size, length - body_filled_);
        if (!reserve_body(taken)) {
            give_way("no memory for a frame that arrives");
            return false;
        }
        body_.insert(body_.end(), bytes, bytes + taken);
        last_progress_ = clock_.now();
        body_filled_ += taken;
        bytes += taken;
        size -= taken;
        if (body_filled_ == length && !deliver_frame()) {
            return false;
        }
    }
    return true;
}

std::size_t peer_connection::longest_frame() const
{
    if (!account_) {
        return max_envelope_bytes;
    }
    return greeted_ ? account_->max_frame_bytes() : max_first_frame_bytes;
}

bool peer_connection::reserve_body(std::size_t more)
{
    const std::size_t needed = body_.size() + more;
    if (needed <= body_.capacity()) {
        return true;
    }
    const std::size_t capacity =
        std::max(needed, std::min(frame_length(prefix_), body_.capacity() * 2));
    if (!count_held(capacity)) {
        return false;
    }
    body_.reserve(capacity);
    return true;
}

bool peer_connection::deliver_frame()
{
    prefix_.clear();
    // The frame is moved out first because the handler may destroy the connection.
    const std::vector<std::uint8_t> frame = std::move(body_);
    body_ = std::vector<std::uint8_t>();
    body_filled_ = 0;
    const envelope* message = verified_envelope(frame);
    if (message == nullptr) {
        fail("frame failed verification");
        return false;
    }
    silence_timer_.stop();
    greeted_ = true;
    last_message_ = clock_.now();
    closed_flag closed = false;
    closed_in_handler_ = &closed;
    // A copy, because the handler may destroy the connection and with it on_message_.
    const message_handler handler = on_message_;
    handler(*message);
    if (closed) {
        return false;
    }
    closed_in_handler_ = nullptr;
    if (!is_open()) {
        return false;
    }
    // The frame is about to be released.
    count_held(body_.capacity());
    return true;
}

} // namespace curranthoist::wire
