#include "curranthoist/base/wall_clock.hpp"
#include "curranthoist/testing/proof/deployment.hpp"
#include "curranthoist/testing/proof/query_load.hpp"

#include <gmock/gmock.h>

#include <csignal>

namespace curranthoist::testing {
namespace {

using nlohmann::json;
using ::testing::IsEmpty;

class zone_proof_test : public deployment
{
protected:
    // VMs 0 and 2 are in zone a, VMs 1 and 3 in zone b, as are the replicas "a" and "b".
    void start_serving(unsigned vms, const std::vector<std::string>& options = {})
    {
        start_control();
        add_service("desk", false, 2, 2, options);
        add_vms(vms);
        ASSERT_TRUE(wait_until_complete("desk")) << vms_[0].process->output();
    }
    std::uint64_t parts_started(const std::string& target)
    {
        return summary(target)["parts"]["started"];
    }
    static std::int64_t now_ms() { return base::wall_clock().now().count(); }
};

// R4, R9: work in a zone 6 s after it was taken out, or a request cut by the change.
// R3: a zone that returns gets the whole load at once.
TEST_F(zone_proof_test, a_zone_goes_out_under_load_within_6_s_and_returns_by_a_ramp)
{
    start_serving(3, {"--service-ms", "10", "--cold-ms", "2000"});
    query_load load(6, [this](unsigned thread) { return query(thread % 3, "desk"); });
    ASSERT_TRUE(wait_until([&] { return load.complete() > 50; }));
    apply({{"kind", "zone_out"}, {"zone", "b"}});
    const std::int64_t out_at = now_ms();
    ASSERT_TRUE(wait_until([&] { return now_ms() > out_at + zone_out_limit.count(); }));
    const unsigned served = load.complete();
    ASSERT_TRUE(wait_until([&] { return load.complete() > served + 50; }));
    EXPECT_LE(last_start_in_zone("b"), out_at + zone_out_limit.count());
    EXPECT_FALSE(is_ready(1)) << "a VM in the zone still offers itself to callers";
    EXPECT_TRUE(is_ready(0));
    const std::uint64_t before = parts_started("desk-0b");
    fault("desk-0b", {{"fault", "turn_cold"}});
    fault("desk-1b", {{"fault", "turn_cold"}});
    const json sheds = summary("desk-0b")["events"];
    apply({{"kind", "zone_in"}, {"zone", "b"}});
    EXPECT_TRUE(wait_until([&] { return parts_started("desk-0b") > before; }));
    const std::int64_t back_at = now_ms();
    EXPECT_TRUE(wait_until([&] { return parts_started("desk-0b") > before + 100; },
                           base::duration(30'000)))
        << "the zone does not get its share back";
    EXPECT_GE(now_ms() - back_at, 1000) << "the load came back without a ramp";
    load.stop();
    EXPECT_THAT(load.wrong(), IsEmpty());
    EXPECT_EQ(load.unknown(), 0U);
    EXPECT_EQ(summary("desk-0b")["events"].value("shed_cold", 0),
              sheds.value("shed_cold", 0))
        << "a cold target got more than one request at a time";
}

// R8: work at a target that operators have taken out of service.
TEST_F(zone_proof_test, a_target_out_of_service_gets_no_work_and_returns)
{
    start_serving(2);
    query_load load(4, [this](unsigned thread) { return query(thread % 2, "desk"); });
    ASSERT_TRUE(wait_until([&] { return load.complete() > 50; }));
    apply({{"kind", "target_out"}, {"target", "desk-0b"}});
    const std::int64_t out_at = now_ms();
    ASSERT_TRUE(wait_until([&] { return now_ms() > out_at + zone_out_limit.count(); }));
    const unsigned served = load.complete();
    ASSERT_TRUE(wait_until([&] { return load.complete() > served + 50; }));
    EXPECT_LE(summary("desk-0b")["parts"]["last_start_ms"].get<std::int64_t>(),
              out_at + zone_out_limit.count());
    const std::uint64_t before = parts_started("desk-0b");
    apply({{"kind", "target_in"}, {"target", "desk-0b"}});
    EXPECT_TRUE(wait_until([&] { return parts_started("desk-0b") > before; }));
    load.stop();
    EXPECT_THAT(load.wrong(), IsEmpty());
    EXPECT_EQ(load.unknown(), 0U);
    EXPECT_EQ(load.partial(), 0U) << "a planned change cost coverage";
}

// R10, R27: hundreds of changes of which a restart loses some, or a VM that works on an
// older revision than before.
TEST_F(zone_proof_test, hundreds_of_changes_survive_a_restart_of_every_process)
{
    start_serving(2);
    for (unsigned i = 0; i < 300; ++i) {
        apply(
            {{"kind", "set_limit"}, {"service", "desk"}, {"max_deadline_ms", 1000 + i}});
    }
    ASSERT_TRUE(wait_until_in_force()) << from_leader("/v1/status");
    const json before = from_leader("/v1/configuration");
    EXPECT_EQ(before["services"][0]["max_deadline_ms"], 1299);
    for (control_member& one : members_) {
        one.process->kill_now();
    }
    for (entry_vm& one : vms_) {
        one.process->kill_now();
    }
    for (unsigned i = 0; i < members_.size(); ++i) {
        start_member(i);
    }
    for (unsigned i = 0; i < vms_.size(); ++i) {
        start_vm(i);
    }
    ASSERT_TRUE(wait_until_complete("desk")) << vms_[0].process->output();
    ASSERT_TRUE(wait_until_in_force()) << from_leader("/v1/status");
    const json after = from_leader("/v1/configuration");
    for (const char* part :
         {"zones", "services", "targets", "vms", "operator_revision"}) {
        EXPECT_EQ(after[part], before[part]) << part;
    }
    EXPECT_GE(after["revision"], before["revision"]);
    for (unsigned vm = 0; vm < 2; ++vm) {
        EXPECT_GE(metric(vm, "curranthoist_applied_revision"),
                  before["revision"].get<double>());
    }
}

// R22, R1: answers that mix the old and the new partition, or queries cut by the change.
TEST_F(zone_proof_test, a_repartition_under_load_mixes_no_snapshots)
{
    start_serving(2);
    query_load load(4, [this](unsigned thread) { return query(thread % 2, "desk"); });
    ASSERT_TRUE(wait_until([&] { return load.complete() > 50; }));
    // Version 2 has the two shards in one: each of the four targets holds shard 0 of 1.
    for (const auto& [name, one] : targets_) {
        fault(name,
              {{"fault", "add_snapshot"}, {"version", 2}, {"shard", 0}, {"shards", 1}});
        fault(name, {{"fault", "vanish_snapshot"}, {"version", 1}});
    }
    EXPECT_TRUE(wait_until([&] {
        const json body = json::parse(query(0, "desk").body, nullptr, false);
        return body.is_object() && body.value("snapshot", 0) == 2;
    }));
    const unsigned served = load.complete();
    EXPECT_TRUE(wait_until([&] { return load.complete() > served + 50; }));
    load.stop();
    EXPECT_THAT(load.wrong(), IsEmpty());
    EXPECT_EQ(load.unknown(), 0U);
}

} // namespace
} // namespace curranthoist::testing
