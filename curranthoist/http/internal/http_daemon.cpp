#include "curranthoist/http/internal/http_daemon.hpp"

#include <cerrno>
#include <stdexcept>
#include <system_error>

#include <fcntl.h>
#include <unistd.h>

namespace curranthoist::http::internal {

namespace {

constexpr double milliseconds_per_second = 1000.0;

} // namespace

http_daemon::http_daemon(ev::loop_ref loop, int listener, options limits,
                         const callbacks& calls)
    : limits_(limits)
    , calls_(calls)
    , watcher_(loop)
    , timer_(loop)
{
    watcher_.set<http_daemon, &http_daemon::on_event>(this);
    timer_.set<http_daemon, &http_daemon::on_timer>(this);
    const int own = ::fcntl(listener, F_DUPFD_CLOEXEC, 0);
    if (own < 0) {
        throw std::system_error(errno, std::generic_category(),
                                "cannot share the listening socket");
    }
    daemon_ = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, calls.accept,
                               calls.self, calls.access, calls.self,
                               MHD_OPTION_LISTEN_SOCKET, own, MHD_OPTION_CONNECTION_LIMIT,
                               limits.max_connections, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                               limits.block_bytes, MHD_OPTION_CONNECTION_TIMEOUT,
                               limits.idle_seconds, MHD_OPTION_URI_LOG_CALLBACK,
                               calls.target, calls.self, MHD_OPTION_NOTIFY_COMPLETED,
                               calls.completed, calls.self, MHD_OPTION_NOTIFY_CONNECTION,
                               &connection_callback, this, MHD_OPTION_END);
    if (daemon_ == nullptr) {
        // The library closes the socket if it has got as far as using it.
        if (::fcntl(own, F_GETFD) >= 0) {
            ::close(own);
        }
        throw std::runtime_error("cannot start the HTTP server");
    }
    const MHD_DaemonInfo* info = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_EPOLL_FD);
    watcher_.start(info->epoll_fd, ev::READ);
}

http_daemon::~http_daemon()
{
    watcher_.stop();
    timer_.stop();
    MHD_stop_daemon(daemon_);
}

void http_daemon::run()
{
    MHD_run(daemon_);
    if (was_full_ && connections_ < limits_.max_connections) {
        // The library watches the listening socket again from its next run on.
        was_full_ = false;
        MHD_run(daemon_);
    }
    MHD_UNSIGNED_LONG_LONG wait_ms = 0;
    timer_.stop();
    if (MHD_get_timeout(daemon_, &wait_ms) == MHD_YES) {
        timer_.start(static_cast<double>(wait_ms) / milliseconds_per_second);
    }
}

void http_daemon::connection_callback(void* self, MHD_Connection* connection,
                                      void** /*context*/,
                                      MHD_ConnectionNotificationCode code)
{
    auto& at = *static_cast<http_daemon*>(self);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        ++at.connections_;
        at.was_full_ = at.was_full_ || at.connections_ >= at.limits_.max_connections;
    }
    else {
        --at.connections_;
    }
    at.calls_.connection(at.calls_.self, at, connection, code);
}

void http_daemon::on_event(ev::io& /*watcher*/, int /*events*/)
{
    run();
}

void http_daemon::on_timer(ev::timer& /*watcher*/, int /*events*/)
{
    run();
}

void http_daemon::stop_accepting()
{
    if (!accepting_) {
        return;
    }
    accepting_ = false;
    const MHD_socket own = MHD_quiesce_daemon(daemon_);
    if (own != MHD_INVALID_SOCKET) {
        ::close(own);
    }
}

void http_daemon::add(int descriptor, const sockaddr* address, socklen_t size)
{
    // The library owns the socket from here on, also if it refuses it.
    MHD_add_connection(daemon_, descriptor, address, size);
}

} // namespace curranthoist::http::internal
