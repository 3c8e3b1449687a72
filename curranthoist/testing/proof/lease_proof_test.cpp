#include "curranthoist/base/wall_clock.hpp"
#include "curranthoist/testing/proof/deployment.hpp"
#include "curranthoist/testing/proof/query_load.hpp"

#include <gmock/gmock.h>

#include <atomic>
#include <csignal>
#include <map>
#include <mutex>

namespace curranthoist::testing {
namespace {

using nlohmann::json;
using ::testing::IsEmpty;

class lease_proof_test : public deployment
{
protected:
    // With `linked`, one member alone is control, because a follower's hint would lead a
    // VM around its link.
    void start_serving(bool linked)
    {
        start_control(linked ? 1 : 3);
        add_service("desk", false, 4, 2);
        add_service("book", true, 1, 3);
        add_vms(2, linked);
        ASSERT_TRUE(wait_until_complete("desk")) << vms_[0].process->output();
    }
    // The targets that the VM owns.
    std::vector<std::string> owned_by(const std::string& vm)
    {
        std::vector<std::string> result;
        const json configuration = from_leader("/v1/configuration");
        for (const json& one : configuration["assignments"]) {
            if (one["vm"] == vm && one["phase"] == "owned") {
                result.push_back(one["target"]);
            }
        }
        return result;
    }
    bool wait_until_owned_by_nobody(const std::string& vm)
    {
        return wait_until([&] { return owned_by(vm).empty(); });
    }
    void cut_from_control(const std::string& vm, bool to_control, bool from_control)
    {
        for (const control_member& one : members_) {
            link(vm, one.name).cut(to_control, from_control);
        }
    }
    static std::int64_t now_ms() { return base::wall_clock().now().count(); }
};

// R4, R7, R8: a VM that was frozen past its lease and goes on sending under it. While it
// is frozen, relayed parts wait in its socket; their time left counts from the moment it
// reads them, so the deadline does not stop them, only the lease and the fence do.
TEST_F(lease_proof_test, a_vm_frozen_past_its_lease_sends_nothing_when_it_wakes)
{
    start_serving(false);
    ASSERT_FALSE(owned_by("vm-1").empty());
    for (const char* target : {"book-0a", "book-0b", "book-0c"}) {
        fault(target, {{"fault", "straggle"}, {"ms", 300}});
    }
    const std::string id = new_order_id("frozen");
    std::thread caller([&] { order(0, "book", id); });
    EXPECT_TRUE(wait_until([&] { return order_runs(id) == 1; }));
    std::map<std::string, std::int64_t> finished;
    std::mutex mutex;
    query_load load(2, [&](unsigned thread) {
        static std::atomic<unsigned> last{0};
        const std::string name = "q" + std::to_string(++last);
        auto result = query(1, "desk", thread == 0 ? "2000" : "500", name);
        const std::lock_guard lock(mutex);
        finished[name] = now_ms();
        return result;
    });
    EXPECT_TRUE(wait_until([&] { return load.complete() > 20; }));
    vms_[0].process->send_signal(SIGSTOP);
    EXPECT_TRUE(wait_until_owned_by_nobody("vm-1"));
    const std::int64_t thawed = now_ms();
    vms_[0].process->send_signal(SIGCONT);
    EXPECT_TRUE(wait_until([&] { return is_ready(0); }));
    caller.join();
    load.stop();
    EXPECT_THAT(load.wrong(), IsEmpty());
    // A cancel of a part that lost a race may take a moment; a second is plenty.
    constexpr std::int64_t cancel_limit_ms = 1000;
    for (const auto& [target, one] : targets_) {
        for (const json& run : runs(target)) {
            const std::string part = run["request_id"];
            const auto query = finished.find(part.substr(0, part.find_first_of("/.#:-")));
            const bool stale = query != finished.end() && run["start_ms"] >= thawed &&
                               query->second < thawed - cancel_limit_ms;
            EXPECT_FALSE(stale) << target << " ran " << run;
        }
        EXPECT_EQ(summary(target)["duplicate_orders"], 0) << target;
    }
    EXPECT_NE(order(1, "book", id).body.find("outcome"), std::string::npos);
    EXPECT_EQ(order_runs(id), 1U);
}

// R4, R10: a leader that wakes up after its term and grants leases for a zone that the
// next leader has taken out.
TEST_F(lease_proof_test, a_leader_frozen_past_every_lease_grants_none_when_it_wakes)
{
    start_serving(false);
    query_load load(2, [this](unsigned thread) { return query(thread, "desk"); });
    EXPECT_TRUE(wait_until([&] { return load.complete() > 20; }));
    const unsigned frozen = leader();
    members_[frozen].process->send_signal(SIGSTOP);
    EXPECT_TRUE(wait_until([&] { return leader() != frozen; }));
    apply({{"kind", "zone_out"}, {"zone", "b"}});
    const std::int64_t out_at = now_ms();
    EXPECT_TRUE(wait_until([&] { return now_ms() > out_at + zone_out_limit.count(); }));
    members_[frozen].process->send_signal(SIGCONT);
    constexpr unsigned redirect = 307;
    EXPECT_TRUE(wait_until([&] {
        return request({members_[frozen].address, operators_port}, "GET", "/v1/status",
                       "")
                   .status == redirect;
    })) << "the former leader does not follow the new one";
    const unsigned served = load.complete();
    EXPECT_TRUE(wait_until([&] { return load.complete() > served + 50; }));
    load.stop();
    EXPECT_THAT(load.wrong(), IsEmpty());
    EXPECT_LE(last_start_in_zone("b"), out_at + zone_out_limit.count());
    EXPECT_FALSE(is_ready(1));
    EXPECT_NE(leader(), frozen);
}

// R4: a VM that can't learn of changes and goes on working after its lease.
TEST_F(lease_proof_test, a_vm_cut_off_from_control_stops_with_its_lease_and_returns)
{
    start_serving(true);
    for (const bool both : {true, false}) {
        cut_from_control("vm-1", both, true);
        const std::int64_t cut_at = now_ms();
        ASSERT_TRUE(wait_until([&] { return !is_ready(0); }, lease_length * 2));
        const std::int64_t stopped_at = now_ms();
        const auto refused = query(0, "desk");
        EXPECT_EQ(refused.status, 503U) << refused.body;
        EXPECT_NE(refused.body.find("not run"), std::string::npos) << refused.body;
        ASSERT_TRUE(wait_until_owned_by_nobody("vm-1"));
        EXPECT_GE(stopped_at - cut_at, 2000) << "the lease ended for another reason";
        ASSERT_TRUE(wait_until([&] {
            return query(1, "desk").body.find("\"complete\":true") != std::string::npos;
        }));
        cut_from_control("vm-1", false, false);
        ASSERT_TRUE(wait_until_complete("desk"));
    }
}

// R4, R7: service that goes on without a quorum, or does not return with it.
TEST_F(lease_proof_test, without_a_quorum_service_ends_with_the_leases_and_returns)
{
    start_serving(false);
    const unsigned leading = leader();
    const unsigned other = (leading + 1) % 3;
    members_[leading].process->kill_now();
    members_[other].process->kill_now();
    const std::int64_t lost_at = now_ms();
    ASSERT_TRUE(
        wait_until([&] { return !is_ready(0) && !is_ready(1); }, lease_length * 2));
    const std::string id = new_order_id("no-quorum");
    for (unsigned vm = 0; vm < 2; ++vm) {
        const auto asked = query(vm, "desk");
        EXPECT_EQ(asked.status, 503U) << asked.body;
        EXPECT_NE(asked.body.find("\"not run\""), std::string::npos) << asked.body;
        const auto ordered = order(vm, "book", id);
        EXPECT_EQ(ordered.status, 503U) << ordered.body;
        EXPECT_NE(ordered.body.find("\"outcome\""), std::string::npos) << ordered.body;
    }
    EXPECT_EQ(order_runs(id), 0U);
    for (const auto& [name, one] : targets_) {
        const json figures = summary(name);
        EXPECT_LE(figures["parts"]["last_start_ms"].get<std::int64_t>(),
                  lost_at + lease_length.count())
            << name;
    }
    start_member(other);
    ASSERT_TRUE(wait_until_complete("desk")) << vms_[0].process->output();
    EXPECT_TRUE(wait_until([&] { return order(0, "book", id).status == 200; }));
    EXPECT_EQ(order_runs(id), 1U);
}

// R28: a control session that goes silent for good while new connections work.
TEST_F(lease_proof_test, a_silent_control_session_is_replaced_before_the_lease_ends)
{
    start_serving(true);
    query_load load(2, [this](unsigned thread) { return query(thread, "desk"); });
    ASSERT_TRUE(wait_until([&] { return load.complete() > 20; }));
    const double dials = metric(0, "curranthoist_control_dials_total");
    for (const control_member& one : members_) {
        link("vm-1", one.name).silence_open_connections();
    }
    EXPECT_TRUE(
        wait_until([&] { return metric(0, "curranthoist_control_dials_total") > dials; },
                   lease_length));
    const double granted = metric(0, "curranthoist_lease_grants_total");
    EXPECT_TRUE(wait_until(
        [&] { return metric(0, "curranthoist_lease_grants_total") > granted + 1; }));
    load.stop();
    EXPECT_THAT(load.wrong(), IsEmpty());
    EXPECT_EQ(load.not_run(), 0U) << "the lease ended although control was reachable";
}

} // namespace
} // namespace curranthoist::testing
