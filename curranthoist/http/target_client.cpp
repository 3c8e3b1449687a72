#include "curranthoist/http/target_client.hpp"

#include "curranthoist/http/internal/curl_handle_setup.hpp"
#include "curranthoist/http/internal/running_call.hpp"
#include "curranthoist/http/internal/target_socket.hpp"

#include <algorithm>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace curranthoist::http {

namespace {

using internal::running_call;
using internal::target_socket;

constexpr double milliseconds_per_second = 1000.0;

// libcurl counts its users; it is set up before main() needs it and never torn down.
void ensure_curl_is_ready()
{
    static const CURLcode ready = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (ready != CURLE_OK) {
        throw std::runtime_error("cannot start libcurl");
    }
}

CURLM* new_multi()
{
    ensure_curl_is_ready();
    CURLM* const multi = curl_multi_init();
    if (multi == nullptr) {
        throw std::bad_alloc();
    }
    return multi;
}

int local_port_of(curl_socket_t descriptor)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

// True if the peer sent something, or closed, while no request was open.
bool has_unexpected_input(curl_socket_t descriptor)
{
    char byte = 0;
    return ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
}

} // namespace

target_client::target_client(ev::loop_ref loop, base::endpoint remote,
                             std::size_t max_connections)
    : loop_(loop)
    , remote_(std::move(remote))
    , max_connections_(max_connections)
    , multi_(new_multi())
    , curl_timer_(loop)
    , delivery_timer_(loop)
{
    curl_timer_.set<target_client, &target_client::on_curl_timer>(this);
    delivery_timer_.set<target_client, &target_client::on_delivery>(this);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &socket_callback);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &timer_callback);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
    set_max_connections(max_connections);
}

target_client::~target_client()
{
    for (const auto& [number, current] : calls_) {
        if (current->handle != nullptr) {
            release_handle(*current);
        }
    }
    for (CURL* handle : idle_handles_) {
        curl_easy_cleanup(handle);
    }
    curl_multi_cleanup(multi_);
}

void target_client::set_max_connections(std::size_t max_connections)
{
    max_connections_ = max_connections;
    const long limit = static_cast<long>(std::max<std::size_t>(max_connections, 1));
    curl_multi_setopt(multi_, CURLMOPT_MAX_TOTAL_CONNECTIONS, limit);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, limit);
    start_waiting_calls();
}

std::size_t target_client::open_calls() const
{
    return calls_.size() + finished_.size();
}

target_client::call_number target_client::start(target_call call, result_handler on_done)
{
    const call_number number = ++last_call_;
    auto current = std::make_unique<running_call>(loop_);
    current->client = this;
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

void target_client::start_waiting_calls()
{
    while (!waiting_.empty() && active_calls_ < max_connections_) {
        const auto found = calls_.find(waiting_.front());
        waiting_.pop_front();
        if (found != calls_.end()) {
            prepare(*found->second);
        }
    }
}

CURL* target_client::take_handle()
{
    if (idle_handles_.empty()) {
        return curl_easy_init();
    }
    CURL* const handle = idle_handles_.back();
    idle_handles_.pop_back();
    return handle;
}

void target_client::prepare(running_call& current)
{
    current.handle = take_handle();
    internal::set_up_handle(current, remote_);
    curl_easy_setopt(current.handle, CURLOPT_PRIVATE, &current);
    curl_easy_setopt(current.handle, CURLOPT_OPENSOCKETFUNCTION, &open_socket_callback);
    curl_easy_setopt(current.handle, CURLOPT_OPENSOCKETDATA, &current);
    // The connection keeps this pointer after the call, so it is the client's.
    curl_easy_setopt(current.handle, CURLOPT_CLOSESOCKETFUNCTION, &close_socket_callback);
    curl_easy_setopt(current.handle, CURLOPT_CLOSESOCKETDATA, this);
    curl_easy_setopt(current.handle, CURLOPT_PREREQFUNCTION, &request_callback);
    curl_easy_setopt(current.handle, CURLOPT_PREREQDATA, &current);
    ++active_calls_;
    curl_multi_add_handle(multi_, current.handle);
}

curl_socket_t target_client::open_socket_callback(void* call, curlsocktype /*purpose*/,
                                                  curl_sockaddr* address)
{
    const auto& current = *static_cast<running_call*>(call);
    target_client& client = *current.client;
    // A call that was sent already is not sent again on a new connection.
    if (current.sent || client.sockets_.size() >= client.max_connections_) {
        return CURL_SOCKET_BAD;
    }
    const int descriptor =
        ::socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    if (descriptor < 0) {
        return CURL_SOCKET_BAD;
    }
    auto opened = std::make_unique<target_socket>(client.loop_);
    opened->number = ++client.last_connection_;
    opened->opened_by = current.number;
    opened->watcher.set<target_client, &target_client::on_socket_event>(&client);
    client.sockets_[descriptor] = std::move(opened);
    client.peak_sockets_ = std::max(client.peak_sockets_, client.sockets_.size());
    if (client.on_socket_) {
        client.on_socket_(current.number, true);
    }
    return descriptor;
}

int target_client::close_socket_callback(void* self, curl_socket_t descriptor)
{
    auto& client = *static_cast<target_client*>(self);
    client.sockets_.erase(descriptor);
    const int result = ::close(descriptor);
    if (client.on_socket_) {
        client.on_socket_(0, false);
    }
    return result;
}

int target_client::request_callback(void* call, char* /*remote_address*/,
                                    char* /*local_address*/, int /*remote_port*/,
                                    int local_port)
{
    auto& current = *static_cast<running_call*>(call);
    // libcurl asks a second time when it resends after a kept connection broke.
    const bool allowed =
        !current.sent && current.client->assign_connection(current, local_port);
    return allowed ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

target_socket* target_client::socket_with_port(int local_port)
{
    for (const auto& [descriptor, each] : sockets_) {
        if (each->local_port == 0) {
            each->local_port = local_port_of(descriptor);
        }
        if (each->local_port == local_port) {
            return each.get();
        }
    }
    return nullptr;
}

bool target_client::assign_connection(running_call& current, int local_port)
{
    target_socket* const used = socket_with_port(local_port);
    if (used == nullptr) {
        return false;
    }
    const auto found =
        std::find_if(sockets_.begin(), sockets_.end(),
                     [used](const auto& each) { return each.second.get() == used; });
    // A late second response would be taken for the response to this call.
    if (used->calls > 0 && has_unexpected_input(found->first)) {
        return false;
    }
    current.sent = true;
    current.result.request_may_have_left = true;
    current.result.connection = used->number;
    current.result.connection_was_new = used->calls == 0;
    ++used->calls;
    return true;
}

int target_client::socket_callback(CURL* /*handle*/, curl_socket_t descriptor, int what,
                                   void* self, void* /*socket*/)
{
    static_cast<target_client*>(self)->watch_socket(descriptor, what);
    return 0;
}

void target_client::watch_socket(curl_socket_t descriptor, int what)
{
    const auto found = sockets_.find(descriptor);
    if (found == sockets_.end()) {
        return;
    }
    ev::io& watcher = found->second->watcher;
    watcher.stop();
    const int wanted = ((what & CURL_POLL_IN) != 0 ? ev::READ : 0) |
                       ((what & CURL_POLL_OUT) != 0 ? ev::WRITE : 0);
    if (what != CURL_POLL_REMOVE && wanted != 0) {
        watcher.start(descriptor, wanted);
    }
}

int target_client::timer_callback(CURLM* /*multi*/, long wait_ms, void* self)
{
    ev::timer& timer = static_cast<target_client*>(self)->curl_timer_;
    timer.stop();
    if (wait_ms >= 0) {
        timer.start(static_cast<double>(wait_ms) / milliseconds_per_second);
    }
    return 0;
}

void target_client::on_socket_event(ev::io& watcher, int events)
{
    const int action = ((events & ev::READ) != 0 ? CURL_CSELECT_IN : 0) |
                       ((events & ev::WRITE) != 0 ? CURL_CSELECT_OUT : 0);
    int running = 0;
    curl_multi_socket_action(multi_, watcher.fd, action, &running);
    collect_finished_calls();
    deliver_results();
}

void target_client::on_curl_timer(ev::timer& /*watcher*/, int /*events*/)
{
    int running = 0;
    curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &running);
    collect_finished_calls();
    deliver_results();
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
    }
}

void target_client::on_delivery(ev::timer& /*watcher*/, int /*events*/)
{
    deliver_results();
}

void target_client::collect_finished_calls()
{
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi_, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        char* private_data = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &private_data);
        auto& current = *reinterpret_cast<running_call*>(private_data);
        long status = 0;
        curl_easy_getinfo(current.handle, CURLINFO_RESPONSE_CODE, &status);
        current.result.status = static_cast<unsigned>(status);
        end_call(current.number, internal::outcome_of(current, message->data.result));
    }
}

void target_client::release_handle(running_call& current)
{
    // Closes the connection as well if the response is not complete.
    curl_multi_remove_handle(multi_, current.handle);
    forget_unused_socket(current.number);
    curl_easy_reset(current.handle);
    idle_handles_.push_back(current.handle);
    current.handle = nullptr;
    --active_calls_;
}

// libcurl closes a socket that has not connected yet without the close callback.
void target_client::forget_unused_socket(call_number opened_by)
{
    const auto unused =
        std::find_if(sockets_.begin(), sockets_.end(), [opened_by](const auto& each) {
            return each.second->opened_by == opened_by && each.second->calls == 0;
        });
    if (unused == sockets_.end()) {
        return;
    }
    sockets_.erase(unused);
    if (on_socket_) {
        on_socket_(0, false);
    }
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
    if (current->handle != nullptr) {
        release_handle(*current);
    }
    current->result.outcome = outcome;
    current->result.elapsed = clock_.now() - current->started;
    finished_.emplace_back(std::move(current->on_done), std::move(current->result));
    delivery_timer_.start(0.0);
    start_waiting_calls();
}

void target_client::deliver_results()
{
    while (!finished_.empty()) {
        const auto [handler, result] = std::move(finished_.front());
        finished_.pop_front();
        handler(result);
    }
}

} // namespace curranthoist::http
