#pragma once

#include "curranthoist/base/random_source.hpp"
#include "curranthoist/base/wall_clock.hpp"
#include "curranthoist/http/target_client.hpp"
#include "curranthoist/testing/load_report.hpp"
#include "curranthoist/testing/load_settings.hpp"

#include <ev++.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace curranthoist::testing {

// Sends queries and orders to several entries at times that do not depend on the answers
// (open loop), checks every answer and fills a load_report.
class load_generator
{
public:
    // `on_done` is called once, when the last answer or failure is in.
    load_generator(ev::loop_ref loop, load_settings settings,
                   std::function<void()> on_done);
    load_generator(const load_generator&) = delete;
    load_generator& operator=(const load_generator&) = delete;

    [[nodiscard]] load_report& report() { return report_; }

private:
    using steady = std::chrono::steady_clock;

    struct entry
    {
        std::unique_ptr<http::target_client> client;
        // Carries only /ready, so that a full client does not hide an entry.
        std::unique_ptr<http::target_client> ready_client;
        bool ready = true;
    };

    void on_send_timer(ev::timer& watcher, int events);
    void on_ready_timer(ev::timer& watcher, int events);
    void send_due_requests();
    void send_one(std::int64_t at_us);
    void on_result(const sent_request& sent, std::int64_t at_us,
                   const http::target_result& result);
    [[nodiscard]] sent_request next_request(std::string& body);
    [[nodiscard]] entry& next_entry();
    [[nodiscard]] std::int64_t draw_gap_us();
    [[nodiscard]] std::int64_t elapsed_us() const;
    void finish_if_done();

    load_settings settings_;
    std::function<void()> on_done_;
    base::random_source random_;
    base::wall_clock wall_clock_;
    load_report report_;
    std::vector<entry> entries_;
    std::size_t last_entry_ = 0;
    std::uint64_t last_request_ = 0;
    std::size_t open_requests_ = 0;
    steady::time_point start_;
    // The intended time of the next request, from the start.
    std::int64_t next_us_ = 0;
    bool sending_ = true;
    ev::timer send_timer_;
    ev::timer ready_timer_;
};

} // namespace curranthoist::testing
