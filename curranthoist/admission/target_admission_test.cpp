#include "curranthoist/admission/target_admission.hpp"

#include <gtest/gtest.h>

#include <string>

namespace curranthoist::admission {
namespace {

using namespace base::literals;

// Sends events to one target_admission and describes its actions as text, such as "start
// 1 fresh".
class target_admission_test : public testing::Test
{
public:
    explicit target_admission_test(bool warm = true)
        : admission(options(warm))
    {
        admission.on_lease(now + 4_s);
    }

    static target_admission_options options(bool warm)
    {
        target_admission_options value;
        value.fence = base::fence(7);
        value.warm = warm;
        value.expected_service_time = 10_ms;
        return value;
    }

    static std::string text(const std::vector<target_action>& actions)
    {
        std::string all;
        for (const target_action& action : actions) {
            all += all.empty() ? "" : ", ";
            if (const auto* start = std::get_if<start_call>(&action)) {
                all += "start " + std::to_string(start->call);
                all += start->fresh ? " fresh" : "";
            }
            else if (const auto* reject = std::get_if<reject_call>(&action)) {
                constexpr const char* names[] = {"shed", "not_owner", "no_lease", "away"};
                all += names[static_cast<std::size_t>(reject->reason)];
                all += " " + std::to_string(reject->call);
            }
            else if (const auto* cancel = std::get_if<cancel_call>(&action)) {
                all += (cancel->timed_out ? "timed out " : "cancel ") +
                       std::to_string(cancel->call);
            }
            else if (std::holds_alternative<close_connections>(action)) {
                all += "close";
            }
            else {
                const auto& released = std::get<target_released>(action);
                all += std::string("released ") + (released.warm ? "warm" : "cold");
            }
        }
        return all;
    }

    std::string enqueue(std::uint64_t call, base::duration deadline = 500_ms,
                        bool order = false)
    {
        return text(
            admission.enqueue(now, {call, base::fence(7), now + deadline, order}));
    }

    std::string result(std::uint64_t call, call_end end,
                       base::duration service_time = 10_ms, const char* boot = "b1")
    {
        return text(
            admission.on_result(now, call, {end, base::boot_id(boot), service_time}));
    }

    std::string open(std::uint64_t call)
    {
        return text(admission.on_connection_opened(now, call, ++sockets));
    }

    // Starts a request, opens its connection if needed and ends it after its service
    // time.
    void run(std::uint64_t call, call_end end = call_end::ok,
             base::duration service_time = 10_ms, const char* boot = "b1")
    {
        const std::string started = enqueue(call);
        ASSERT_EQ(started.substr(0, 5), "start") << started;
        if (started.find("fresh") != std::string::npos) {
            open(call);
        }
        now = now + service_time;
        admission.on_lease(now + 4_s);
        result(call, end, service_time, boot);
    }

    base::instant now{10'000};
    std::uint32_t sockets = 0;
    target_admission<> admission;
};

class cold_target_test : public target_admission_test
{
public:
    cold_target_test()
        : target_admission_test(false)
    {}
};

TEST_F(target_admission_test, slots_are_not_exceeded)
{
    EXPECT_EQ(enqueue(1), "start 1 fresh");
    EXPECT_EQ(enqueue(2), "start 2 fresh");
    EXPECT_EQ(enqueue(3), "");
    EXPECT_EQ(result(1, call_end::ok), "start 3 fresh");
}

// Guards against a start while the target still runs the cancelled request: the target
// would then run more requests than it has slots.
TEST_F(target_admission_test, a_cancelled_request_keeps_its_slot_for_20_ms)
{
    enqueue(1);
    enqueue(2);
    enqueue(3);
    EXPECT_EQ(text(admission.on_cancel(now, 1)), "cancel 1");
    now = now + 19_ms;
    EXPECT_EQ(text(admission.on_time(now)), "");
    now = now + 1_ms;
    EXPECT_EQ(text(admission.on_time(now)), "start 3 fresh");
}

TEST_F(target_admission_test, the_earliest_deadline_starts_first)
{
    enqueue(1);
    enqueue(2);
    enqueue(3, 400_ms);
    enqueue(4, 300_ms);
    EXPECT_EQ(result(1, call_end::ok), "start 4 fresh");
}

TEST_F(target_admission_test, a_request_that_cannot_start_in_time_is_rejected_at_once)
{
    run(1, call_end::ok, 50_ms);
    enqueue(2);
    enqueue(3);
    EXPECT_EQ(enqueue(4, 40_ms), "shed 4");
    EXPECT_EQ(enqueue(5, 400_ms), "");
}

TEST_F(target_admission_test, a_silent_connection_keeps_slot_and_connection)
{
    for (std::uint64_t call = 1; call <= 10; ++call) {
        run(call);
    }
    ASSERT_EQ(sockets, 1U);
    EXPECT_EQ(enqueue(20, 400_ms), "start 20");
    now = now + 100_ms;
    EXPECT_EQ(text(admission.on_time(now)), "");
    EXPECT_EQ(text(admission.on_cancel(now, 20)), "cancel 20");
    text(admission.on_connection_closed(now, sockets = 0));
    EXPECT_EQ(admission.slots_in_use(), 1U);
    EXPECT_EQ(admission.connections_counted(), 1U);
    EXPECT_EQ(admission.connection_limit(), 5U);
    now = now + 300_ms;
    text(admission.on_time(now));
    EXPECT_EQ(admission.slots_in_use(), 0U);
    now = now + 59'700_ms;
    text(admission.on_time(now));
    EXPECT_EQ(admission.connections_counted(), 0U);
}

// Guards against timeouts on single unresponsive connections that make the whole target
// count as cold or unreachable.
TEST_F(target_admission_test, a_target_is_not_sick_while_other_connections_work)
{
    for (std::uint64_t call = 1; call <= 10; ++call) {
        run(call);
    }
    for (std::uint64_t call = 20; call < 28; call += 2) {
        enqueue(call, 150_ms);
        now = now + 10_ms;
        run(call + 1);
        now = now + 140_ms;
        EXPECT_EQ(text(admission.on_time(now)), "timed out " + std::to_string(call));
        text(admission.on_connection_closed(now, --sockets));
        now = now + 20_ms;
    }
    EXPECT_TRUE(admission.warm());
    EXPECT_TRUE(admission.accepts_requests(now));
}

TEST_F(target_admission_test, a_cancel_of_a_slow_call_waits_to_learn_if_it_is_silent)
{
    for (std::uint64_t call = 1; call <= 10; ++call) {
        run(call);
    }
    enqueue(20);
    now = now + 15_ms;
    EXPECT_EQ(text(admission.on_cancel(now, 20)), "");
    now = now + 85_ms;
    EXPECT_EQ(text(admission.on_time(now)), "cancel 20");
    EXPECT_EQ(admission.slots_in_use(), 1U);
}

TEST_F(target_admission_test, no_connection_is_opened_past_the_budget)
{
    for (std::uint64_t call = 1; call <= 6; ++call) {
        EXPECT_EQ(enqueue(call, 600_ms, true),
                  "start " + std::to_string(call) + " fresh");
        open(call);
        result(call, call_end::ok);
    }
    EXPECT_EQ(admission.connections_counted(), 6U);
    // libcurl closes an idle connection to open one for the seventh order.
    EXPECT_EQ(enqueue(7, 600_ms, true), "start 7 fresh");
    EXPECT_EQ(admission.connections_counted(), 6U);
    EXPECT_EQ(admission.connection_limit(), 6U);
}

TEST_F(target_admission_test, nothing_runs_past_the_lease)
{
    admission.on_lease(now + 200_ms);
    const auto actions = admission.enqueue(now, {1, base::fence(7), now + 500_ms});
    EXPECT_EQ(std::get<start_call>(actions.at(0)).deadline, now + 200_ms);
    admission.on_lease(now + 4_ms);
    EXPECT_EQ(enqueue(2), "no_lease 2");
    admission.on_lease(now);
    EXPECT_EQ(enqueue(3, 1_ms), "no_lease 3");
}

TEST_F(target_admission_test, a_waiting_request_is_refused_when_the_lease_ends)
{
    enqueue(1);
    enqueue(2);
    enqueue(3);
    admission.on_lease(now);
    EXPECT_EQ(text(admission.on_time(now)), "no_lease 3");
}

// Guards against a request that runs under the fence of an earlier owner.
TEST_F(target_admission_test, a_request_for_an_earlier_owner_is_refused)
{
    EXPECT_EQ(text(admission.enqueue(now, {1, base::fence(6), now + 500_ms})),
              "not_owner 1");
}

TEST_F(target_admission_test, a_release_finishes_what_runs_and_reports_the_pace)
{
    enqueue(1);
    open(1);
    enqueue(2);
    open(2);
    enqueue(3);
    EXPECT_EQ(text(admission.stop_sending(now)), "not_owner 3");
    EXPECT_EQ(enqueue(4), "not_owner 4");
    EXPECT_EQ(result(1, call_end::ok), "");
    EXPECT_EQ(result(2, call_end::ok), "close");
    EXPECT_EQ(text(admission.on_connection_closed(now, 1)), "");
    EXPECT_EQ(text(admission.on_connection_closed(now, 0)), "released warm");
    EXPECT_EQ(text(admission.on_time(now)), "");
}

TEST_F(target_admission_test,
       a_status_poll_takes_work_away_and_only_a_result_gives_it_back)
{
    text(admission.on_status(now, {false, false, {}}));
    EXPECT_FALSE(admission.accepts_requests(now));
    EXPECT_EQ(enqueue(1), "away 1");
    text(admission.on_status(now, {true, false, base::boot_id("b1")}));
    EXPECT_EQ(enqueue(2), "start 2 fresh");
    EXPECT_EQ(enqueue(3), "");
    EXPECT_EQ(result(2, call_end::ok), "start 3 fresh");
    EXPECT_EQ(enqueue(4), "start 4 fresh");
}

TEST_F(target_admission_test, a_wrongly_unreachable_target_comes_back_by_probes)
{
    text(admission.on_status(now, {false, false, {}}));
    EXPECT_EQ(admission.next_wakeup(), now + 2_s);
    now = now + 2_s;
    EXPECT_TRUE(admission.accepts_requests(now));
    EXPECT_EQ(enqueue(1), "start 1 fresh");
    EXPECT_EQ(result(1, call_end::refused), "");
    EXPECT_EQ(enqueue(2), "away 2");
    now = now + 2_s;
    EXPECT_EQ(enqueue(3, 400_ms), "no_lease 3");
    admission.on_lease(now + 4_s);
    EXPECT_EQ(enqueue(4), "start 4 fresh");
    result(4, call_end::ok);
    EXPECT_TRUE(admission.accepts_requests(now));
}

TEST_F(target_admission_test, a_draining_target_gets_nothing_even_after_good_results)
{
    enqueue(1);
    text(admission.on_status(now, {true, true, base::boot_id("b1")}));
    EXPECT_EQ(result(1, call_end::ok), "");
    EXPECT_EQ(enqueue(2), "away 2");
    now = now + 3_s;
    EXPECT_EQ(enqueue(3), "away 3");
}

TEST_F(target_admission_test, a_restart_with_notice_turns_the_target_cold)
{
    run(1);
    EXPECT_TRUE(admission.warm());
    run(2, call_end::ok, 10_ms, "b2");
    EXPECT_FALSE(admission.warm());
    // A lagging poll that still reports the first boot id is not a second restart.
    for (std::uint64_t call = 3; call < 11; ++call) {
        now = now + 200_ms;
        run(call, call_end::ok, 10_ms, "b2");
    }
    EXPECT_EQ(admission.pace_milli_per_s(), 7'500U);
    text(admission.on_status(now, {true, false, base::boot_id("b1")}));
    EXPECT_EQ(admission.pace_milli_per_s(), 7'500U);
}

TEST_F(target_admission_test, connections_that_fail_and_then_work_turn_the_target_cold)
{
    run(1);
    run(2, call_end::refused, 1_ms, "");
    EXPECT_TRUE(admission.warm());
    run(3, call_end::ok, 10_ms, "");
    EXPECT_FALSE(admission.warm());
}

TEST_F(target_admission_test, a_burst_of_sheds_turns_the_target_cold)
{
    for (std::uint64_t call = 1; call <= 4; ++call) {
        EXPECT_TRUE(admission.warm());
        run(call, call_end::shed, 1_ms);
    }
    EXPECT_FALSE(admission.warm());
}

// Guards against single sheds that count as a cold start.
TEST_F(target_admission_test, spread_sheds_do_not_turn_the_target_cold)
{
    for (std::uint64_t call = 1; call <= 12; ++call) {
        now = now + 400_ms;
        admission.on_lease(now + 4_s);
        run(call, call_end::shed, 1_ms);
    }
    EXPECT_TRUE(admission.warm());
}

TEST_F(target_admission_test, responses_far_slower_than_warm_turn_the_target_cold)
{
    for (std::uint64_t call = 1; call <= 16; ++call) {
        run(call);
    }
    for (std::uint64_t call = 17; call <= 23; ++call) {
        run(call, call_end::ok, 60_ms);
    }
    EXPECT_TRUE(admission.warm());
    run(24, call_end::ok, 60_ms);
    EXPECT_FALSE(admission.warm());
}

TEST_F(cold_target_test, one_request_at_a_time_at_the_pace)
{
    EXPECT_EQ(enqueue(1), "start 1 fresh");
    open(1);
    EXPECT_EQ(enqueue(2), "");
    now = now + 10_ms;
    EXPECT_EQ(result(1, call_end::ok), "");
    now = now + 189_ms;
    EXPECT_EQ(text(admission.on_time(now)), "");
    now = now + 1_ms;
    EXPECT_EQ(text(admission.on_time(now)), "start 2");
}

TEST_F(cold_target_test, requests_beyond_the_pace_are_shed)
{
    enqueue(1);
    EXPECT_EQ(enqueue(2, 300_ms), "");
    EXPECT_EQ(enqueue(3, 350_ms), "shed 3");
}

TEST_F(cold_target_test, the_pace_grows_to_warm_and_is_halved_by_a_shed)
{
    std::uint64_t call = 0;
    const auto run_next = [&](call_end end, base::duration service_time) {
        now = now + 1_s;
        run(++call, end, service_time);
    };
    for (int i = 0; i < 8; ++i) {
        run_next(call_end::ok, 10_ms);
    }
    EXPECT_EQ(admission.pace_milli_per_s(), 7'500U);
    for (int i = 0; i < 7; ++i) {
        run_next(call_end::ok, 10_ms);
    }
    run_next(call_end::ok, 200_ms);
    EXPECT_EQ(admission.pace_milli_per_s(), 7'500U) << "a slow response must not count";
    run_next(call_end::shed, 1_ms);
    EXPECT_EQ(admission.pace_milli_per_s(), 3'750U);
    for (int i = 0; i < 100 && !admission.warm(); ++i) {
        run_next(call_end::ok, 10_ms);
    }
    EXPECT_TRUE(admission.warm());
}

} // namespace
} // namespace curranthoist::admission
