#include "curranthoist/http/target_client.hpp"

#include "curranthoist/http/internal/request_text.hpp"
#include "curranthoist/http/internal/running_call.hpp"
#include "curranthoist/http/internal/target_connection.hpp"
#include "curranthoist/http/internal/target_socket.hpp"
#include "curranthoist/http/status.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <string_view>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

namespace curranthoist::http {

namespace {

using internal::running_call;
using internal::target_connection;

// A connection is given up this long before the target closes it, so that no request
// crosses the close.
constexpr base::duration close_margin{400};
constexpr std::size_t read_bytes = std::size_t{16} * 1024;
// A connection is read so often in one turn of the loop; a target that sends faster than
// this process reads must not keep it from its other connections and timers.
constexpr int max_reads_per_turn = 4;
// A longer body is sent from where it is, by a system call of its own, so that calls that
// share it do not hold a copy each.
constexpr std::size_t max_copied_body_bytes = std::size_t{4} * 1024;

std::string_view next_output(const target_connection& connection)
{
    const std::size_t head_bytes = connection.output.size();
    return connection.sent < head_bytes
               ? std::string_view(connection.output).substr(connection.sent)
               : connection.output_rest.substr(connection.sent - head_bytes);
}

} // namespace

target_client::target_client(ev::loop_ref loop, base::endpoint remote,
                             std::size_t max_connections)
    : loop_(loop)
    , remote_(std::move(remote))
    , max_connections_(max_connections)
    , delivery_timer_(loop)
{
    delivery_timer_.set<target_client, &target_client::on_delivery>(this);
}

target_client::~target_client()
{
    while (!connections_.empty()) {
        close(*connections_.begin()->second);
    }
}

void target_client::set_max_connections(std::size_t max_connections)
{
    max_connections_ = max_connections;
    close_idle_above_limit();
    start_waiting_calls();
}

std::size_t target_client::open_calls() const
{
    return calls_.size() + finished_.size();
}

target_client::call_number target_client::start(target_call call, result_handler on_done)
{
    const call_number number = ++*last_call_;
    auto current = std::make_unique<running_call>(loop_);
    current->number = number;
    current->call = std::move(call);
    current->on_done = std::move(on_done);
    current->started = clock_.now();
    current->deadline.set<target_client, &target_client::on_deadline>(this);
    // The loop's cached time can be old, which would end the call too early.
    ev_now_update(loop_);
    current->deadline.start(std::max(0.0, current->call.time_limit.seconds()));
    calls_.emplace(number, std::move(current));
    waiting_.push_back(number);
    start_waiting_calls();
    return number;
}

void target_client::cancel(call_number number)
{
    end_call(number, call_outcome::cancelled);
}

void target_client::abandon(call_number number)
{
    const auto found = calls_.find(number);
    if (found == calls_.end()) {
        return;
    }
    target_connection* const connection = found->second->connection;
    if (connection == nullptr || found->second->call.fresh_connection) {
        cancel(number);
        return;
    }
    call_pointer current = std::move(found->second);
    calls_.erase(found);
    if (!connection->connected) {
        // It serves the next call instead.
        connection->call = nullptr;
        current->deadline.stop();
        conclude(*current, call_outcome::cancelled);
        return;
    }
    conclude(*current, call_outcome::cancelled);
    // The reader fills the result of this object.
    current->deadline.stop();
    current->deadline.start(linger_limit.seconds());
    connection->abandoned = std::move(current);
}

bool target_client::withdraw(call_number number)
{
    const auto found = calls_.find(number);
    if (found == calls_.end() || found->second->result.request_may_have_left) {
        return false;
    }
    target_connection* const connection = found->second->connection;
    if (connection != nullptr && !connection->connected &&
        !found->second->call.fresh_connection) {
        // The connection that is being made serves the next call instead.
        connection->call = nullptr;
        found->second->connection = nullptr;
    }
    end_call(number, call_outcome::withdrawn);
    return true;
}

void target_client::withdraw_unsent()
{
    std::vector<call_number> unsent;
    for (const auto& [number, call] : calls_) {
        if (call->call.is_withdrawable && !call->result.request_may_have_left) {
            unsent.push_back(number);
        }
    }
    // The end of one call must not start another of them.
    std::erase_if(waiting_, [&unsent](call_number number) {
        return std::binary_search(unsent.begin(), unsent.end(), number);
    });
    for (const call_number number : unsent) {
        end_call(number, call_outcome::withdrawn);
    }
}

std::size_t target_client::busy_connections() const
{
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [](const auto& one) { return one.second->call != nullptr; }));
}

void target_client::start_waiting_calls()
{
    if (!waiting_.empty() && busy_connections() >= max_connections_) {
        close_abandoned_connection();
    }
    while (!waiting_.empty() && busy_connections() < max_connections_) {
        const auto found = calls_.find(waiting_.front());
        waiting_.pop_front();
        if (found == calls_.end()) {
            continue;
        }
        running_call& call = *found->second;
        if (is_overdue(call)) {
            end_call(call.number, call_outcome::timed_out);
            continue;
        }
        target_connection* connection =
            call.call.fresh_connection ? nullptr : take_idle(call.call.checks_connection);
        if (connection == nullptr && connections_.size() < max_connections_ &&
            !has_socket()) {
            waiting_.push_front(call.number);
            return;
        }
        if (connection == nullptr) {
            connection = open_connection(call.number);
        }
        if (connection == nullptr) {
            end_call(call.number, call_outcome::could_not_connect);
            continue;
        }
        assign(call, *connection);
    }
}

bool target_client::is_overdue(const running_call& call) const
{
    const base::duration limit =
        call.call.deadline_header.empty() ? call.call.time_limit : call.call.target_time;
    return clock_.now() - call.started >= limit;
}

// A call that waits is worth more than a connection that may become free.
void target_client::close_abandoned_connection()
{
    const auto found =
        std::find_if(connections_.begin(), connections_.end(),
                     [](const auto& one) { return one.second->abandoned != nullptr; });
    if (found != connections_.end()) {
        close(*found->second);
    }
}

target_connection* target_client::take_idle(bool check)
{
    const base::instant now = clock_.now();
    target_connection* found = nullptr;
    std::vector<target_connection*> unusable;
    for (const auto& [descriptor, connection] : connections_) {
        if (connection->call != nullptr) {
            continue;
        }
        // A late second response would be taken for the response to the next call.
        if (now >= connection->usable_until ||
            (check && internal::has_unexpected_input(descriptor))) {
            unusable.push_back(connection.get());
        }
        else {
            found = connection.get();
            break;
        }
    }
    for (target_connection* one : unusable) {
        close(*one);
    }
    return found;
}

void target_client::preconnect()
{
    const bool has_idle =
        std::any_of(connections_.begin(), connections_.end(),
                    [](const auto& one) { return one.second->call == nullptr; });
    if (!has_idle && connections_.size() < max_connections_ &&
        (!sockets_ || sockets_->has_room())) {
        open_connection(0);
    }
}

bool target_client::close_idle()
{
    const auto idle =
        std::find_if(connections_.begin(), connections_.end(),
                     [](const auto& one) { return one.second->call == nullptr; });
    if (idle == connections_.end()) {
        return false;
    }
    close(*idle->second);
    return true;
}

target_connection* target_client::open_connection(call_number first)
{
    if (connections_.size() >= max_connections_ && !close_idle()) {
        return nullptr;
    }
    const int descriptor = internal::begin_connect(remote_);
    if (descriptor < 0) {
        return nullptr;
    }
    auto opened = std::make_unique<target_connection>(loop_);
    opened->descriptor = descriptor;
    opened->number = ++last_connection_;
    opened->watcher.set<target_client, &target_client::on_socket_event>(this);
    // Before timers: a response that has arrived is not late.
    opened->watcher.priority = 1;
    opened->watcher.start(descriptor, ev::WRITE);
    opened->connect_timer.set<target_client, &target_client::on_connect_limit>(this);
    opened->connect_timer.start(connect_limit.seconds());
    target_connection& result = *opened;
    connections_[descriptor] = std::move(opened);
    peak_sockets_ = std::max(peak_sockets_, connections_.size());
    if (sockets_) {
        sockets_->on_opened();
    }
    if (on_socket_) {
        on_socket_(first, true);
    }
    return &result;
}

void target_client::assign(running_call& call, target_connection& to)
{
    call.connection = &to;
    to.call = &call;
    if (to.connected) {
        write(to);
    }
}

void target_client::close(target_connection& connection)
{
    connection.watcher.stop();
    const int descriptor = connection.descriptor;
    connections_.erase(descriptor);
    ::close(descriptor);
    if (sockets_) {
        sockets_->on_closed();
    }
    if (on_socket_) {
        on_socket_(0, false);
    }
}

void target_client::close_idle_above_limit()
{
    while (connections_.size() > max_connections_ && close_idle()) {
    }
}

void target_client::on_socket_event(ev::io& watcher, int events)
{
    const auto found = connections_.find(watcher.fd);
    if (found == connections_.end()) {
        return;
    }
    target_connection& connection = *found->second;
    if (!connection.connected) {
        on_connected(connection);
    }
    else if (connection.call == nullptr) {
        // The target has closed an idle connection, or sent what belongs to no request.
        close(connection);
    }
    else if ((events & ev::READ) != 0) {
        read(connection);
    }
    else {
        write(connection);
    }
    deliver_results();
}

void target_client::on_connected(target_connection& connection)
{
    if (!internal::has_connected(connection.descriptor)) {
        give_up(connection);
        return;
    }
    connection.connected = true;
    connection.connect_timer.stop();
    if (connection.call == nullptr) {
        set_events(connection, ev::READ);
    }
    else {
        write(connection);
    }
}

void target_client::give_up(target_connection& connection)
{
    if (connection.call == nullptr) {
        close(connection);
    }
    else {
        fail(connection, call_outcome::could_not_connect);
    }
}

void target_client::fail(target_connection& connection, call_outcome outcome)
{
    if (connection.abandoned) {
        close(connection);
        start_waiting_calls();
    }
    else {
        end_call(connection.call->number, outcome);
    }
}

// Each change of the events costs a system call.
void target_client::set_events(target_connection& connection, int events)
{
    if (connection.watcher.events != events) {
        connection.watcher.set(events);
    }
}

void target_client::on_connect_limit(ev::timer& watcher, int /*events*/)
{
    const auto found =
        std::find_if(connections_.begin(), connections_.end(), [&](const auto& one) {
            return &one.second->connect_timer == &watcher;
        });
    if (found != connections_.end()) {
        give_up(*found->second);
        deliver_results();
    }
}

void target_client::set_output(target_connection& connection) const
{
    const running_call& call = *connection.call;
    connection.output =
        internal::request_head(call.call, remote_, clock_.now() - call.started);
    connection.output_rest = call.call.method == "HEAD" ? "" : call.call.content();
    if (connection.output_rest.size() <= max_copied_body_bytes) {
        connection.output.append(connection.output_rest);
        connection.output_rest = {};
    }
    connection.sent = 0;
}

void target_client::write(target_connection& connection)
{
    running_call& call = *connection.call;
    if (!connection.reader) {
        set_output(connection);
        connection.reader.emplace(call.call, call.result, memory_);
        if (call.call.expects_names && connection.names_requests) {
            connection.reader->require_id();
        }
        call.result.connection_was_new = connection.calls == 0;
    }
    while (!connection.has_sent_all()) {
        const std::string_view piece = next_output(connection);
        const ssize_t size =
            ::send(connection.descriptor, piece.data(), piece.size(), MSG_NOSIGNAL);
        if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
            break;
        }
        if (size < 0) {
            // The target may have answered before it closed.
            read(connection);
            return;
        }
        if (!call.result.request_may_have_left) {
            call.result.request_may_have_left = true;
            call.result.connection = connection.number;
            ++connection.calls;
            if (traffic_ != nullptr) {
                ++traffic_->messages;
            }
        }
        if (traffic_ != nullptr) {
            traffic_->sent_bytes += static_cast<std::uint64_t>(size);
        }
        connection.sent += static_cast<std::size_t>(size);
    }
    set_events(connection, connection.has_sent_all() ? ev::READ : ev::READ | ev::WRITE);
}

void target_client::read(target_connection& connection)
{
    std::array<char, read_bytes> buffer;
    const int descriptor = connection.descriptor;
    for (int turn = 0; turn < max_reads_per_turn; ++turn) {
        const ssize_t size = ::recv(descriptor, buffer.data(), buffer.size(), 0);
        if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
            break;
        }
        if (size <= 0) {
            end_connection(connection, size == 0);
            return;
        }
        if (traffic_ != nullptr) {
            traffic_->received_bytes += static_cast<std::uint64_t>(size);
        }
        const auto outcome = connection.reader->read(
            std::string_view(buffer.data(), static_cast<std::size_t>(size)));
        if (outcome) {
            finish(connection, *outcome);
            return;
        }
        if (static_cast<std::size_t>(size) < buffer.size()) {
            break;
        }
    }
    if (!connection.has_sent_all()) {
        write(connection);
    }
}

void target_client::end_connection(target_connection& connection, bool in_order)
{
    fail(connection, connection.reader->finish(in_order));
}

void target_client::finish(target_connection& connection, call_outcome outcome)
{
    running_call& call = *connection.call;
    const bool all_sent = connection.has_sent_all();
    // A late copy of a rejection that names no request could not be told from the answer
    // to the next one.
    const bool is_named = call.result.headers.contains(call.call.id_header);
    const bool is_recognisable = is_named || call.result.status < status::first_redirect;
    const bool keep = outcome == call_outcome::ok && all_sent && is_recognisable &&
                      connection.reader->may_keep_connection() &&
                      !call.call.fresh_connection &&
                      connections_.size() <= max_connections_;
    if (keep) {
        const auto kept = internal::kept_for(call.result);
        connection.names_requests = connection.names_requests ||
                                    call.result.headers.contains(call.call.id_header);
        connection.usable_until =
            kept ? clock_.now() + *kept - close_margin : base::instant::max();
        connection.reader.reset();
        connection.output = {};
        connection.output_rest = {};
        connection.sent = 0;
        connection.call = nullptr;
        call.connection = nullptr;
    }
    if (!connection.abandoned) {
        end_call(call.number, outcome);
        return;
    }
    connection.abandoned.reset();
    if (!keep) {
        close(connection);
    }
    start_waiting_calls();
}

void target_client::end_call(call_number number, call_outcome outcome)
{
    const auto found = calls_.find(number);
    if (found == calls_.end()) {
        return;
    }
    const call_pointer current = std::move(found->second);
    calls_.erase(found);
    current->deadline.stop();
    if (current->connection != nullptr) {
        // The rest of the response must not meet the next request.
        close(*current->connection);
    }
    conclude(*current, outcome);
    start_waiting_calls();
}

void target_client::conclude(running_call& call, call_outcome outcome)
{
    call.result.outcome = outcome;
    if (outcome != call_outcome::ok) {
        // A part of a response is of no use, and may be long.
        call.result.body = {};
        call.result.held_memory.reset();
    }
    call.result.elapsed = clock_.now() - call.started;
    finished_.emplace_back(std::move(call.on_done), std::move(call.result));
    if (!delivery_timer_.is_active()) {
        delivery_timer_.start(0.0);
    }
}

void target_client::on_deadline(ev::timer& watcher, int /*events*/)
{
    const auto found =
        std::find_if(calls_.begin(), calls_.end(), [&watcher](const auto& each) {
            return &each.second->deadline == &watcher;
        });
    if (found != calls_.end()) {
        end_call(found->first, call_outcome::timed_out);
        deliver_results();
        return;
    }
    const auto late = std::find_if(
        connections_.begin(), connections_.end(), [&watcher](const auto& one) {
            return one.second->abandoned && &one.second->abandoned->deadline == &watcher;
        });
    if (late != connections_.end()) {
        close(*late->second);
        start_waiting_calls();
    }
}

void target_client::on_delivery(ev::timer& /*watcher*/, int /*events*/)
{
    deliver_results();
}

void target_client::deliver_results()
{
    while (!finished_.empty()) {
        auto [handler, result] = std::move(finished_.front());
        finished_.pop_front();
        handler(std::move(result));
    }
    delivery_timer_.stop();
}

} // namespace curranthoist::http
