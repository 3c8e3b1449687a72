#include "curranthoist/testing/proof/deployment.hpp"
#include "curranthoist/testing/proof/query_load.hpp"

#include <gmock/gmock.h>

#include <csignal>

namespace curranthoist::testing {
namespace {

using nlohmann::json;
using ::testing::IsEmpty;

class stop_proof_test : public deployment
{
protected:
    void start_serving()
    {
        start_control();
        add_service("desk", false, 2, 3);
        add_vms(2);
        ASSERT_TRUE(wait_until_complete("desk")) << vms_[0].process->output();
    }
    // Stops VM 0, which has callers until it is gone, after `before` was called.
    template <class Before>
    void stop_under_load(const Before& before)
    {
        query_load load(4, [this](unsigned) { return query(0, "desk", "500"); });
        EXPECT_TRUE(
            wait_until([&] { return load.complete() > 200; }, base::duration(20'000)))
            << load.counts();
        before();
        vms_[0].process->send_signal(SIGTERM);
        EXPECT_EQ(vms_[0].process->wait_for_exit(base::duration(15'000)), 0)
            << vms_[0].process->output();
        load.stop();
        EXPECT_THAT(load.wrong(), IsEmpty());
    }
    bool wait_until_owned_by(const std::string& vm)
    {
        return wait_until([&] {
            const json configuration = from_leader("/v1/configuration");
            for (const json& one : configuration["assignments"]) {
                if (one["vm"] != vm || one["phase"] != "owned") {
                    return false;
                }
            }
            return !configuration["assignments"].empty();
        });
    }
};

// R9: a stop, and the handover in it, that a failing target turns into a cut request.
TEST_F(stop_proof_test, a_stop_cuts_no_request_while_targets_fail)
{
    start_serving();
    stop_under_load([this] {
        targets_.at("desk-0a").process->kill_now();
        fault("desk-1a", {{"fault", "stall_connections"}});
        fault("desk-0b", {{"fault", "truncate"}, {"probability", 0.3}});
        fault("desk-1b", {{"fault", "late"}, {"ms", 300}, {"probability", 0.3}});
        fault("desk-0c", {{"fault", "repeat"}, {"probability", 0.3}});
        fault("desk-1c", {{"fault", "straggle"}, {"ms", 300}, {"probability", 0.3}});
    });
    for (const char* target : {"desk-0b", "desk-1b", "desk-0c", "desk-1c"}) {
        fault(target, {{"fault", "clear"}});
    }
    EXPECT_TRUE(wait_until_owned_by("vm-2")) << from_leader("/v1/configuration");
    EXPECT_TRUE(wait_until(
        [&] {
            return query(1, "desk").body.find("\"complete\":true") != std::string::npos;
        },
        base::duration(30'000)));
}

// R9: a stop that fails because nobody leads when it reports what it released.
TEST_F(stop_proof_test, a_stop_finishes_although_the_control_leader_is_killed)
{
    start_serving();
    const unsigned leading = leader();
    stop_under_load([&] { members_[leading].process->kill_now(); });
    EXPECT_TRUE(wait_until_owned_by("vm-2")) << from_leader("/v1/configuration");
}

} // namespace
} // namespace curranthoist::testing
