#include "curranthoist/http/caller_server.hpp"

#include "curranthoist/http/internal/connection_load.hpp"
#include "curranthoist/http/internal/connection_memory.hpp"
#include "curranthoist/http/internal/exchange.hpp"
#include "curranthoist/http/internal/header_names.hpp"
#include "curranthoist/http/internal/http_daemon.hpp"
#include "curranthoist/http/internal/listening_socket.hpp"
#include "curranthoist/http/internal/reserve_exactly.hpp"
#include "curranthoist/http/internal/response_body.hpp"
#include "curranthoist/http/internal/response_builder.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <exception>
#include <utility>
#include <vector>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace curranthoist::http {

namespace {

using internal::connection_load;
using internal::connection_memory;
using internal::connection_state;
using internal::exchange;
using internal::exchange_phase;
using internal::shortage;

// How much of a body over the limit is read, so that a caller that is still sending sees
// the refusal rather than a reset.
constexpr std::size_t max_discarded_bytes = std::size_t{1024} * 1024;
// Connections of which the library takes care beyond the limit while others make room,
// and the part of the limit that they are at most.
constexpr unsigned max_spare_connections = 32;
constexpr unsigned spare_divisor = 4;

unsigned spare_connections(unsigned max_connections)
{
    return std::min(max_spare_connections, max_connections / spare_divisor + 1);
}
// Bodies up to this size are not counted.
constexpr std::size_t min_counted_body_bytes = std::size_t{4} * 1024;
// What a connection may hold besides its block: such a body and a small response.
constexpr std::size_t uncounted_bytes = min_counted_body_bytes + small_content_bytes;
constexpr double limit_check_s = 1.0;
constexpr double replacement_check_s = 0.1;

// Sent on connections whose request was not handed over.
constexpr std::string_view no_memory_response = "HTTP/1.1 503 Service Unavailable\r\n"
                                                "Retry-After: 1\r\n"
                                                "Connection: close\r\n"
                                                "Content-Length: 0\r\n\r\n";
constexpr std::string_view too_slow_response = "HTTP/1.1 408 Request Timeout\r\n"
                                               "Connection: close\r\n"
                                               "Content-Length: 0\r\n\r\n";

MHD_Result collect_header(void* into, MHD_ValueKind /*kind*/, const char* key,
                          const char* value)
{
    static_cast<header_map*>(into)->emplace(key, value == nullptr ? "" : value);
    return MHD_YES;
}

MHD_Result collect_argument(void* into, MHD_ValueKind /*kind*/, const char* key,
                            const char* value)
{
    static_cast<caller_request::argument_map*>(into)->emplace(
        key, value == nullptr ? "" : value);
    return MHD_YES;
}

std::size_t announced_length(const caller_request& request)
{
    std::size_t length = 0;
    if (const auto text = request.header(MHD_HTTP_HEADER_CONTENT_LENGTH)) {
        std::from_chars(text->data(), text->data() + text->size(), length);
    }
    return length;
}

std::size_t header_bytes(MHD_Connection* connection)
{
    const MHD_ConnectionInfo* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
    return info == nullptr ? 0 : info->header_size;
}

std::size_t value_count(MHD_Connection* connection, MHD_ValueKind kind)
{
    return static_cast<std::size_t>(
        std::max(0, MHD_get_connection_values(connection, kind, nullptr, nullptr)));
}

int descriptor_of(MHD_Connection* connection)
{
    const MHD_ConnectionInfo* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return info == nullptr ? -1 : info->connect_fd;
}

// At least the number of the target's query arguments.
std::size_t argument_count(std::string_view target)
{
    return static_cast<std::size_t>(
        std::count_if(target.begin(), target.end(),
                      [](char letter) { return letter == '?' || letter == '&'; }));
}

// Refuses a request whose head is still being parsed, and ends its connection.
void refuse_head(int descriptor)
{
    constexpr std::string_view refused =
        "HTTP/1.1 431 Request Header Fields Too Large\r\n"
        "Connection: close\r\n"
        "Content-Length: 0\r\n\r\n";
    ::send(descriptor, refused.data(), refused.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    ::shutdown(descriptor, SHUT_RDWR);
}

// The bytes of the response's header lines.
std::size_t head_bytes(const caller_response& answer)
{
    constexpr std::size_t separators = std::string_view(": \r\n").size();
    std::size_t sum = 0;
    for (const auto& [name, value] : answer.headers) {
        sum += name.size() + value.size() + separators;
    }
    return sum;
}

bool has_input(int descriptor)
{
    char byte = 0;
    return ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool is_live(int descriptor)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    return getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
           info.tcpi_state == TCP_ESTABLISHED;
}

} // namespace

caller_server::caller_server(ev::loop_ref loop, caller_server_options options,
                             request_handler on_request)
    : loop_(loop)
    , options_(std::move(options))
    , min_block_bytes_(connection_memory::block_bytes(options_.max_header_bytes))
    , wanted_block_bytes_(min_block_bytes_)
    , request_memory_(std::make_shared<memory_account>(options_.max_request_memory))
    , response_memory_(options_.response_memory ? options_.response_memory
                                                : std::make_shared<memory_account>(
                                                      options_.max_request_memory))
    , on_request_(std::move(on_request))
    , listener_(internal::open_listening_socket(options_.listen))
    , local_(internal::bound_endpoint(listener_))
    , close_epoll_(epoll_create1(EPOLL_CLOEXEC))
    , close_watcher_(loop)
    , handshake_timer_(loop)
    , limit_timer_(loop)
    , replacement_timer_(loop)
{
    close_watcher_.set<caller_server, &caller_server::on_peer_close_event>(this);
    handshake_timer_.set<caller_server, &caller_server::on_handshakes_over>(this);
    limit_timer_.set<caller_server, &caller_server::on_time_limit>(this);
    replacement_timer_.set<caller_server, &caller_server::on_replacement>(this);
    request_memory_->on_shortage(
        [this] { return evict(shortage::request_memory, growing_); });
    response_memory_->on_shortage([this] { return evict(shortage::response_memory); });
    try {
        daemons_.push_back(make_daemon(wanted_block_bytes_));
    }
    catch (...) {
        ::close(listener_);
        ::close(close_epoll_);
        throw;
    }
    close_watcher_.start(close_epoll_, ev::READ);
}

caller_server::~caller_server()
{
    // What is held may outlive the server.
    request_memory_->on_shortage(nullptr);
    response_memory_->on_shortage(nullptr);
    close_watcher_.stop();
    on_connection_ = nullptr;
    for (const auto& [connection, current] : exchanges_) {
        current->on_close = nullptr;
        current->phase = exchange_phase::closed;
        if (current->suspended) {
            MHD_resume_connection(connection);
        }
        current->detach();
    }
    daemons_.clear();
    if (listening_) {
        ::close(listener_);
    }
    ::close(close_epoll_);
}

std::unique_ptr<internal::http_daemon> caller_server::make_daemon(std::size_t block_bytes)
{
    const auto connections = static_cast<unsigned>(connections_with(block_bytes));
    return std::make_unique<internal::http_daemon>(
        loop_, listener_,
        internal::http_daemon::options{block_bytes,
                                       connections + spare_connections(connections),
                                       options_.idle_seconds},
        internal::http_daemon::callbacks{&accept_callback, &target_callback,
                                         &access_callback, &completed_callback,
                                         &connection_callback, this});
}

std::size_t caller_server::connections_with(std::size_t block_bytes) const
{
    if (options_.max_connection_memory == 0) {
        return options_.max_connections;
    }
    return std::clamp<std::size_t>(options_.max_connection_memory /
                                       (block_bytes + uncounted_bytes),
                                   1, options_.max_connections);
}

std::size_t caller_server::max_connections() const
{
    return connections_with(wanted_block_bytes_);
}

bool caller_server::has_room(std::size_t block_bytes) const
{
    const std::size_t held = connections_.size() - closing_;
    const std::size_t bytes =
        held_block_bytes_ + block_bytes + (held + 1) * uncounted_bytes;
    return held < connections_with(block_bytes) &&
           (held == 0 || options_.max_connection_memory == 0 ||
            bytes <= options_.max_connection_memory);
}

std::size_t caller_server::connection_bytes(std::size_t max_header_bytes)
{
    return connection_memory::block_bytes(max_header_bytes) + uncounted_bytes;
}

void caller_server::set_request_limits(std::size_t max_header_bytes,
                                       std::size_t max_body_bytes)
{
    options_.max_header_bytes = max_header_bytes;
    options_.max_body_bytes = max_body_bytes;
    wanted_block_bytes_ =
        std::max(min_block_bytes_, connection_memory::block_bytes(max_header_bytes));
    replace_daemon();
}

void caller_server::replace_daemon()
{
    // Callers of a server that stops are about to leave it.
    if (daemons_.back()->block_bytes() == wanted_block_bytes_ || !listening_ ||
        handshake_timer_.is_active()) {
        return;
    }
    if (!replacement_timer_.is_active()) {
        replacement_timer_.start(replacement_check_s, replacement_check_s);
    }
    try {
        auto next = make_daemon(wanted_block_bytes_);
        daemons_.back()->stop_accepting();
        daemons_.push_back(std::move(next));
        replaced_at_ = clock_.now();
    }
    catch (const std::exception& error) {
        // The timer tries again; meanwhile heads that are too long get 431.
        log_.warn(std::string("event=limits_delayed reason=\"") + error.what() + "\"");
    }
}

void caller_server::on_replacement(ev::timer& /*watcher*/, int /*events*/)
{
    replace_daemon();
    close_replaced();
    if (daemons_.size() == 1 &&
        (daemons_.back()->block_bytes() == wanted_block_bytes_ || !listening_)) {
        replacement_timer_.stop();
    }
}

void caller_server::close_replaced()
{
    if (clock_.now() - replaced_at_ >= replaced_connection_time) {
        for (auto& [connection, entry] : connections_) {
            if (entry.daemon != daemons_.back().get() && !entry.closing &&
                !exchanges_.contains(connection) && !has_input(entry.descriptor)) {
                shut_down(connection, entry, {});
            }
        }
    }
    run_daemons();
    std::erase_if(daemons_, [this](const auto& one) {
        return one != daemons_.back() && one->connections() == 0;
    });
}

void caller_server::set_time_limits(base::duration idle, base::duration head)
{
    idle_limit_ = idle;
    head_limit_ = head;
    if (!limit_timer_.is_active()) {
        limit_timer_.start(limit_check_s, limit_check_s);
    }
}

void caller_server::on_time_limit(ev::timer& /*watcher*/, int /*events*/)
{
    const base::instant now = clock_.now();
    for (auto& [connection, entry] : connections_) {
        const connection_load load = load_of(connection, entry);
        const base::duration silent = now - load.last_progress;
        if (load.state == connection_state::idle && silent >= idle_limit_ + head_limit_ &&
            !has_input(entry.descriptor)) {
            shut_down(connection, entry, {});
        }
        else if (load.state == connection_state::receiving && silent >= idle_limit_) {
            shut_down(connection, entry, too_slow_response);
        }
    }
}

connection_load caller_server::load_of(MHD_Connection* connection,
                                       const connection_entry& entry) const
{
    if (entry.closing) {
        return {connection_state::running, entry.opened, entry.opened};
    }
    const auto found = exchanges_.find(connection);
    if (found == exchanges_.end()) {
        return {connection_state::idle, entry.opened, entry.idle_since};
    }
    const exchange& current = *found->second;
    switch (current.phase) {
    case exchange_phase::reading:
    case exchange_phase::discarding:
        return {connection_state::receiving, current.began, current.last_progress,
                current.request.body.size()};
    case exchange_phase::answered:
        return {connection_state::sending, current.began,
                std::max(current.last_progress, current.sending
                                                    ? current.sending->last_read
                                                    : current.last_progress)};
    case exchange_phase::waiting:
    case exchange_phase::closed:
        break;
    }
    return {connection_state::running, current.began, current.last_progress};
}

bool caller_server::evict(shortage what, const exchange* growing)
{
    std::vector<connection_load> loads;
    loads.reserve(connections_.size());
    for (const auto& [connection, entry] : connections_) {
        loads.push_back(load_of(connection, entry));
    }
    const auto chosen = internal::connection_to_close(loads, what, clock_.now());
    if (!chosen) {
        return false;
    }
    const auto entry =
        std::next(connections_.begin(), static_cast<std::ptrdiff_t>(*chosen));
    if (growing != nullptr && growing->connection() == entry->first) {
        return false;
    }
    shut_down(entry->first, entry->second,
              loads[*chosen].state == connection_state::receiving ? no_memory_response
                                                                  : std::string_view());
    ++evicted_;
    return true;
}

void caller_server::shut_down(MHD_Connection* connection, connection_entry& entry,
                              std::string_view response)
{
    if (!response.empty()) {
        ::send(entry.descriptor, response.data(), response.size(),
               MSG_NOSIGNAL | MSG_DONTWAIT);
    }
    // libmicrohttpd sees the end of the stream and closes the socket.
    ::shutdown(entry.descriptor, SHUT_RDWR);
    entry.closing = true;
    ++closing_;
    held_block_bytes_ -= entry.daemon->block_bytes();
    if (const auto found = exchanges_.find(connection); found != exchanges_.end()) {
        exchange& current = *found->second;
        current.phase = exchange_phase::closed;
        current.request.body = {};
        current.request.held_memory.reset();
        if (current.sending) {
            current.sending->release();
        }
    }
}

void caller_server::run_daemons()
{
    for (const auto& one : daemons_) {
        one->run();
    }
}

void caller_server::on_peer_close_event(ev::io& /*watcher*/, int /*events*/)
{
    constexpr int max_events = 64;
    std::array<epoll_event, max_events> events{};
    const int count = epoll_wait(close_epoll_, events.data(), max_events, 0);
    for (int i = 0; i < count; ++i) {
        // A handler that runs for an earlier event may have ended this exchange.
        const auto found =
            exchanges_.find(static_cast<MHD_Connection*>(events.at(i).data.ptr));
        if (found != exchanges_.end() && found->second->suspended) {
            const std::shared_ptr<exchange> current = found->second;
            peer_closed(*current);
        }
    }
}

void caller_server::peer_closed(exchange& current)
{
    current.phase = exchange_phase::closed;
    resume(current);
    const std::function<void()> on_close = std::move(current.on_close);
    current.on_close = nullptr;
    if (on_close) {
        on_close();
    }
}

void caller_server::stop_accepting()
{
    if (!listening_ || handshake_timer_.is_active()) {
        return;
    }
    announces_close_ = true;
    if (!internal::refuse_new_handshakes(listener_)) {
        close_listener();
        return;
    }
    ev_now_update(loop_);
    handshake_timer_.start(handshake_time.seconds());
}

void caller_server::on_handshakes_over(ev::timer& /*watcher*/, int /*events*/)
{
    close_listener();
}

void caller_server::close_listener()
{
    listening_ = false;
    daemons_.back()->stop_accepting();
    take_waiting_connections();
    ::close(listener_);
    run_daemons();
}

// Closing a listening socket resets the connections in the kernel's queue, whose callers
// may have sent a request already.
void caller_server::take_waiting_connections()
{
    for (unsigned i = 0; i < options_.max_connections; ++i) {
        sockaddr_in address{};
        socklen_t size = sizeof address;
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        const int accepted =
            ::accept4(listener_, generic, &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted < 0) {
            return;
        }
        daemons_.back()->add(accepted, generic, size);
    }
}

void caller_server::close_idle()
{
    const base::instant now = clock_.now();
    for (const auto& [connection, entry] : connections_) {
        if (!entry.used && now - entry.opened < first_request_time) {
            continue;
        }
        // libmicrohttpd sees the end of the stream and closes the socket.
        if (!has_input(entry.descriptor) && !exchanges_.contains(connection)) {
            ::shutdown(entry.descriptor, SHUT_RDWR);
        }
    }
    run_daemons();
}

std::size_t caller_server::live_connections() const
{
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [](const auto& each) { return is_live(each.second.descriptor); }));
}

MHD_Result caller_server::accept_callback(void* self, const sockaddr* /*address*/,
                                          socklen_t /*size*/)
{
    const auto& server = *static_cast<caller_server*>(self);
    return !server.accept_filter_ || server.accept_filter_() ? MHD_YES : MHD_NO;
}

void caller_server::connection_callback(void* self, internal::http_daemon& at,
                                        MHD_Connection* connection,
                                        MHD_ConnectionNotificationCode code)
{
    auto& server = *static_cast<caller_server*>(self);
    const bool open = code == MHD_CONNECTION_NOTIFY_STARTED;
    if (open) {
        const int on = 1;
        const int descriptor = descriptor_of(connection);
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const base::instant now = server.clock_.now();
        const std::size_t block_bytes = at.block_bytes();
        bool fits = server.has_room(block_bytes);
        while (!fits && server.evict(shortage::connections)) {
            fits = server.has_room(block_bytes);
        }
        connection_entry& added = server.connections_[connection];
        added = {++server.last_connection_, descriptor, &at, now, now};
        server.held_block_bytes_ += block_bytes;
        if (!fits) {
            server.shut_down(connection, added, {});
        }
    }
    const std::uint64_t number = server.connections_[connection].number;
    if (!open) {
        const connection_entry& ended = server.connections_[connection];
        if (ended.closing) {
            --server.closing_;
        }
        else {
            server.held_block_bytes_ -= at.block_bytes();
        }
        server.connections_.erase(connection);
        server.targets_.erase(connection);
    }
    if (server.on_connection_) {
        server.on_connection_(number, open);
    }
}

// What it returns would be the request's context, which access_callback() sets.
void* caller_server::target_callback(void* self, const char* target,
                                     MHD_Connection* connection)
{
    auto& server = *static_cast<caller_server*>(self);
    server.targets_[connection] = target;
    // The library would go on parsing the arguments until the connection times out.
    if (connection_memory(server.connections_.at(connection).daemon->block_bytes())
            .left_beside(std::string_view(target).size(), 0, argument_count(target)) <
        connection_memory::response_reserve) {
        refuse_head(descriptor_of(connection));
    }
    return nullptr;
}

MHD_Result caller_server::access_callback(void* self, MHD_Connection* connection,
                                          const char* url, const char* method,
                                          const char* /*version*/, const char* data,
                                          std::size_t* size, void** context)
{
    auto& server = *static_cast<caller_server*>(self);
    if (*context == nullptr) {
        // What arrived before the connection was shut down could not be answered.
        if (server.connections_.at(connection).closing) {
            return MHD_NO;
        }
        return server.begin_exchange(connection, url, method, context);
    }
    // Kept alive here: the handler can drop its responder during the call.
    const std::shared_ptr<exchange> current = server.exchanges_.at(connection);
    return *size > 0 ? server.continue_exchange(*current, data, size)
                     : server.finish_exchange(*current);
}

MHD_Result caller_server::begin_exchange(MHD_Connection* connection, const char* url,
                                         const char* method, void** context)
{
    auto current =
        std::make_shared<exchange>(*this, connection, descriptor_of(connection));
    *context = current.get();
    exchanges_[connection] = current;
    caller_request& request = current->request;
    request.method = method;
    request.path = url;
    request.target = std::move(targets_[connection]);
    connection_entry& entry = connections_.at(connection);
    request.connection_was_new = !entry.used;
    entry.used = true;
    request.connection = entry.number;
    current->began = clock_.now();
    current->last_progress = current->began;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &collect_header,
                              &request.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &collect_argument,
                              &request.arguments);
    if (!internal::are_tokens(request.headers)) {
        // What follows may have been meant as the body of this request.
        caller_response refused =
            internal::refusal(MHD_HTTP_BAD_REQUEST, "a header's name is malformed");
        refused.headers.emplace(MHD_HTTP_HEADER_CONNECTION, "close");
        return queue_response(connection, refused);
    }
    current->response_head_room = room_for_response_head(connection, request);
    if (header_bytes(connection) > options_.max_header_bytes ||
        current->response_head_room < connection_memory::response_reserve) {
        return refuse_early(connection, MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE,
                            "the request's headers are too long");
    }
    const std::size_t length = announced_length(request);
    if (length <= options_.max_body_bytes) {
        return MHD_YES;
    }
    if (length > max_discarded_bytes || request.header(MHD_HTTP_HEADER_EXPECT)) {
        return refuse_early(connection, MHD_HTTP_CONTENT_TOO_LARGE,
                            "the request's body is too long");
    }
    current->phase = exchange_phase::discarding;
    return MHD_YES;
}

std::size_t caller_server::room_for_response_head(MHD_Connection* connection,
                                                  const caller_request& request) const
{
    const auto cookie = request.headers.find(std::string_view(MHD_HTTP_HEADER_COOKIE));
    const std::size_t cookie_bytes =
        cookie == request.headers.end() ? 0 : cookie->second.size();
    constexpr auto all_kinds = static_cast<MHD_ValueKind>(
        MHD_HEADER_KIND | MHD_COOKIE_KIND | MHD_GET_ARGUMENT_KIND);
    return connection_memory(connections_.at(connection).daemon->block_bytes())
        .left_beside(header_bytes(connection), cookie_bytes,
                     value_count(connection, all_kinds));
}

MHD_Result caller_server::continue_exchange(exchange& current, const char* data,
                                            std::size_t* size)
{
    std::string& body = current.request.body;
    if (body.size() + *size > options_.max_body_bytes) {
        current.phase = exchange_phase::discarding;
        body.clear();
    }
    if (current.phase == exchange_phase::closed) {
        return MHD_NO;
    }
    current.last_progress = clock_.now();
    if (current.phase == exchange_phase::reading) {
        if (!reserve_body(current, *size)) {
            shut_down(current.connection(), connections_.at(current.connection()),
                      no_memory_response);
            return MHD_NO;
        }
        body.append(data, *size);
    }
    else {
        current.discarded_bytes += *size;
    }
    *size = 0;
    return current.discarded_bytes > max_discarded_bytes ? MHD_NO : MHD_YES;
}

bool caller_server::reserve_body(exchange& current, std::size_t more)
{
    std::string& body = current.request.body;
    const std::size_t needed = body.size() + more;
    if (needed <= body.capacity()) {
        return true;
    }
    std::size_t capacity = std::max(needed, body.capacity() * 2);
    if (const std::size_t announced = announced_length(current.request)) {
        capacity = std::max(needed, std::min(capacity, announced));
    }
    if (capacity > min_counted_body_bytes) {
        auto& held = current.request.held_memory;
        if (!held) {
            held = std::make_shared<memory_account::reservation>(request_memory_);
        }
        growing_ = &current;
        const bool fits = held->grow(capacity);
        growing_ = nullptr;
        if (!fits) {
            return false;
        }
    }
    internal::reserve_exactly(body, capacity);
    return true;
}

MHD_Result caller_server::finish_exchange(exchange& current)
{
    if (current.phase == exchange_phase::discarding) {
        return queue_response(current.connection(),
                              internal::refusal(MHD_HTTP_CONTENT_TOO_LARGE,
                                                "the request's body is too long"));
    }
    if (current.phase == exchange_phase::reading) {
        deliver(current);
    }
    if (current.phase == exchange_phase::waiting) {
        suspend(current);
        return MHD_YES;
    }
    if (current.phase != exchange_phase::answered) {
        return MHD_NO;
    }
    // The library would close the connection without a response. The request has run.
    return head_bytes(*current.response) <= current.response_head_room
               ? queue_own_response(current)
               : queue_response(current.connection(),
                                {.status = MHD_HTTP_BAD_GATEWAY,
                                 .body = R"({"error":"the headers of the response )"
                                         R"(are too long"})"});
}

void caller_server::deliver(exchange& current)
{
    current.phase = exchange_phase::waiting;
    on_request_(std::move(current.request),
                responder(exchanges_.at(current.connection())));
}

MHD_Result caller_server::refuse_early(MHD_Connection* connection, unsigned status,
                                       std::string_view error)
{
    return queue_response(connection, internal::refusal(status, error));
}

MHD_Result caller_server::queue_own_response(exchange& current)
{
    caller_response& answer = *current.response;
    if (answer.body.size() <= small_content_bytes || answer.break_after) {
        return queue_response(current.connection(), answer);
    }
    auto body = std::make_shared<internal::response_body>();
    body->held_memory = std::move(answer.held_memory);
    if (!body->held_memory) {
        body->held_memory =
            std::make_shared<memory_account::reservation>(response_memory_);
        if (!body->held_memory->grow(answer.body.size())) {
            return queue_response(current.connection(),
                                  {.status = MHD_HTTP_BAD_GATEWAY,
                                   .body = R"({"error":"no memory for the response"})"});
        }
    }
    body->bytes = std::move(answer.body);
    body->last_read = clock_.now();
    current.sending = body;
    return queue(current.connection(), answer, internal::make_response(std::move(body)));
}

MHD_Result caller_server::queue_response(MHD_Connection* connection,
                                         const caller_response& answer)
{
    return queue(connection, answer, internal::make_response(answer));
}

MHD_Result caller_server::queue(MHD_Connection* connection, const caller_response& answer,
                                MHD_Response* response)
{
    for (const auto& [name, value] : answer.headers) {
        MHD_add_response_header(response, name.c_str(), value.c_str());
    }
    if (announces_close_ || connections_.at(connection).daemon != daemons_.back().get()) {
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    const MHD_Result result = MHD_queue_response(connection, answer.status, response);
    MHD_destroy_response(response);
    return result;
}

void caller_server::suspend(exchange& current)
{
    MHD_suspend_connection(current.connection());
    current.suspended = true;
    epoll_event wanted{};
    wanted.events = EPOLLRDHUP;
    wanted.data.ptr = current.connection();
    epoll_ctl(close_epoll_, EPOLL_CTL_ADD, current.descriptor(), &wanted);
}

void caller_server::resume(exchange& current)
{
    epoll_ctl(close_epoll_, EPOLL_CTL_DEL, current.descriptor(), nullptr);
    current.suspended = false;
    MHD_resume_connection(current.connection());
    connections_.at(current.connection()).daemon->wake();
}

void caller_server::completed_callback(void* self, MHD_Connection* connection,
                                       void** context,
                                       MHD_RequestTerminationCode /*code*/)
{
    auto& server = *static_cast<caller_server*>(self);
    *context = nullptr;
    if (const auto entry = server.connections_.find(connection);
        entry != server.connections_.end()) {
        entry->second.idle_since = server.clock_.now();
    }
    const auto found = server.exchanges_.find(connection);
    if (found != server.exchanges_.end()) {
        found->second->detach();
        server.exchanges_.erase(found);
    }
}

} // namespace curranthoist::http
