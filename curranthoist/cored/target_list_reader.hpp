#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/logger.hpp"
#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/deployment/listed_target.hpp"
#include "curranthoist/http/target_client.hpp"

#include <ev++.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace curranthoist::cored {

// Reads the platform's list of targets again and again while it runs, page by page. Only
// the leader runs one, because the calls of all VMs together are limited.
class target_list_reader
{
public:
    // Receives a complete list, the term for which it was read, and when its reading
    // began.
    using list_handler = std::function<void(
        base::term term, std::vector<deployment::listed_target>, base::instant read_at)>;

    // At least this long from the begin of one reading to the next. Half of a drain's
    // 3 s stay for the list's lag, the push to other VMs and a lost call.
    static constexpr base::duration interval{900};

    // Spends at most half of `calls_per_s`, since a former leader may read too.
    target_list_reader(ev::loop_ref loop, const base::endpoint& list, double calls_per_s,
                       list_handler on_list);
    target_list_reader(const target_list_reader&) = delete;
    target_list_reader& operator=(const target_list_reader&) = delete;

    // Begins to read at once for the leader of `term`. A reading that runs for another
    // term ends without a result.
    void start(base::term term);
    void stop();

private:
    void on_timer(ev::timer& watcher, int events);
    void begin();
    void ask();
    void on_page(std::uint64_t reading, const http::target_result& result);
    void finish(bool complete, const std::string& reason);
    void log_rejected();

    base::monotonic_clock clock_;
    base::logger log_{"targets"};
    http::target_client client_;
    list_handler on_list_;
    ev::timer timer_;
    bool running_ = false;
    base::term term_;
    std::uint64_t reading_ = 0;
    base::instant begun_;
    std::vector<deployment::listed_target> targets_;
    std::string next_page_;
    std::size_t pages_ = 0;
    double call_time_ms_ = 0;
    // The last reading succeeded; nothing before the first one.
    std::optional<bool> reachable_;
    // Entries of this reading that name no target, how many there are, and the number at
    // the last log line.
    std::vector<std::string> rejected_;
    std::size_t rejected_count_ = 0;
    std::size_t logged_rejected_count_ = 0;
};

} // namespace curranthoist::cored
