#pragma once

#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/base/logger.hpp"
#include "curranthoist/wire/peer_account.hpp"
#include "curranthoist/wire/peer_connection.hpp"
#include "curranthoist/wire/peer_listener.hpp"

#include <ev++.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace curranthoist::frontd {

class gather_task;
struct task_context;

// Takes gather requests from the other front processes. A request ends with the
// connection that it came on.
class gather_server
{
public:
    // Throws std::system_error if the endpoint can't be bound. The context must outlive
    // the server.
    gather_server(ev::loop_ref loop, const base::endpoint& local, task_context& context,
                  wire::peer_account::limits accepted = {});
    ~gather_server();
    gather_server(const gather_server&) = delete;
    gather_server& operator=(const gather_server&) = delete;

    // From now on requests are reported as not run.
    void stop() { stopping_ = true; }
    // Drops what has ended; call it now and then, outside of handlers of calls.
    void drop_ended();
    [[nodiscard]] std::size_t open_requests() const { return tasks_.size(); }

private:
    // Its connection's number, and its own number on that connection.
    using task_key = std::pair<std::uint64_t, std::uint64_t>;

    void on_accept(int descriptor);
    void on_message(std::uint64_t connection, const wire::envelope& message);
    void on_request(std::uint64_t connection, const wire::gather_request& request);
    void on_close(std::uint64_t connection);
    // Starts the requests that have been read.
    void on_start(ev::timer& watcher, int events);
    void start(const task_key& key);
    void cancel(task_key key);
    void send(std::uint64_t connection, wire::gather_report_message report);

    ev::loop_ref loop_;
    task_context& context_;
    base::logger log_{"gather"};
    std::shared_ptr<wire::peer_account> account_;
    std::map<std::uint64_t, std::unique_ptr<wire::peer_connection>> connections_;
    std::uint64_t last_connection_ = 0;
    std::map<task_key, std::shared_ptr<gather_task>> tasks_;
    // Requests that are started once all input is read: a process that was frozen may
    // find a request and its cancellation at the same time.
    std::vector<task_key> unstarted_;
    ev::timer start_timer_;
    // Dropped outside of their handlers.
    std::vector<std::shared_ptr<gather_task>> ended_tasks_;
    std::vector<std::unique_ptr<wire::peer_connection>> ended_connections_;
    bool stopping_ = false;
    wire::peer_listener listener_;
};

} // namespace curranthoist::frontd
