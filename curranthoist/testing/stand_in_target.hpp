#pragma once

#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/base/random_source.hpp"
#include "curranthoist/base/wall_clock.hpp"
#include "curranthoist/http/caller_server.hpp"
#include "curranthoist/testing/cold_state.hpp"
#include "curranthoist/testing/connection_table.hpp"
#include "curranthoist/testing/fault_set.hpp"
#include "curranthoist/testing/journal.hpp"
#include "curranthoist/testing/service_time.hpp"
#include "curranthoist/testing/target_run.hpp"
#include "curranthoist/testing/target_settings.hpp"

#include <ev++.h>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace curranthoist::testing {

// A target for tests: it answers parts and orders within its slots and connections,
// journals every run, and misbehaves on command. Section "HTTP to targets" of the design
// page gives its interface; fault_parser.hpp the faults.
class stand_in_target
{
public:
    stand_in_target(ev::loop_ref loop, const target_settings& settings);
    stand_in_target(const stand_in_target&) = delete;
    stand_in_target& operator=(const stand_in_target&) = delete;

    // Where it listens; the settings may leave the choice of ports to the kernel.
    [[nodiscard]] const base::endpoint& local() const { return server_.local(); }
    [[nodiscard]] const base::endpoint& admin_local() const
    {
        return admin_server_.local();
    }

private:
    using run_number = std::uint64_t;

    bool accept_connection();
    void on_connection(std::uint64_t connection, bool open);
    void on_request(http::caller_request request, http::responder answer);
    void on_admin_request(const http::caller_request& request,
                          const http::responder& answer);
    void apply_fault(const http::caller_request& request, const http::responder& answer);
    void carry_out(const fault& command);
    void set_status_lie(const fault& command);

    void admit(run_number number);
    std::optional<http::caller_response> refusal_of(const target_run& run);
    std::optional<http::caller_response> refusal_of_snapshot(const target_run& run);
    void start(run_number number);
    void finish(run_number number);
    void apply_answer_faults(run_number number);
    void cross_answers(run_number number, double wait_ms);
    void send(run_number number);
    void on_closed(run_number number);

    [[nodiscard]] http::caller_response make_answer(const target_run& run);
    [[nodiscard]] nlohmann::json true_status() const;
    [[nodiscard]] nlohmann::json reported_status() const;
    [[nodiscard]] bool is_draining() const;
    [[nodiscard]] double now_ms() const;

    ev::loop_ref loop_;
    target_settings settings_;
    std::string boot_id_;
    base::monotonic_clock clock_;
    base::wall_clock wall_clock_;
    base::random_source random_;
    service_time service_time_;
    cold_state cold_;
    fault_set faults_;
    journal journal_;
    connection_table connections_;
    std::set<held_snapshot> snapshots_;
    nlohmann::json status_lie_;
    std::size_t slots_in_use_ = 0;
    run_number last_run_ = 0;
    std::map<run_number, std::unique_ptr<target_run>> runs_;
    // A finished run whose answer waits to be swapped with another's; 0 if none.
    run_number crossed_run_ = 0;
    std::optional<http::caller_response> last_answer_;
    http::caller_server server_;
    http::caller_server admin_server_;
};

} // namespace curranthoist::testing
