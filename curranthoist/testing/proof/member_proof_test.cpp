#include "curranthoist/testing/proof/deployment.hpp"

#include <csignal>
#include <filesystem>

namespace curranthoist::testing {
namespace {

using nlohmann::json;

class member_proof_test : public deployment
{
protected:
    static constexpr int bad_data_folder = 3;
    static constexpr int disk_failure = 70;

    [[nodiscard]] std::string data_folder(unsigned member) const
    {
        return folder() + "/data-" + members_.at(member).name;
    }
    json zone_change()
    {
        const std::string name = "zone-" + std::to_string(++zones_);
        return {{"kind", "add_zone"}, {"zone", name}};
    }
    std::size_t zones_in_force()
    {
        return from_leader("/v1/configuration")["zones"].size();
    }
    // Waits until the new member is a voter without lag and the old one has left.
    bool wait_until_replaced(const std::string& old_name, const std::string& new_name)
    {
        return wait_until(
            [&] {
                const json status = from_leader("/v1/status");
                if (!status.is_object() || status.contains("replacement")) {
                    return false;
                }
                bool joined = false;
                for (const json& one : status["members"]) {
                    joined =
                        joined || (one["member"] == new_name && one["role"] == "voter" &&
                                   one["lag_entries"] == 0);
                    if (one["member"] == old_name) {
                        return false;
                    }
                }
                return joined;
            },
            base::duration(20'000));
    }
    std::uint64_t commit_index() { return from_leader("/v1/status")["commit_index"]; }

private:
    unsigned zones_ = 0;
};

// R17, R26: a member without its disk that votes, and a change lost with a second member
// right after the repair.
TEST_F(member_proof_test, a_lost_disk_is_repaired_and_a_second_loss_loses_nothing)
{
    start_control();
    for (unsigned i = 0; i < 5; ++i) {
        apply(zone_change());
    }
    const unsigned lost = (leader() + 1) % 3;
    members_[lost].process->kill_now();
    std::filesystem::remove_all(data_folder(lost));
    start_member(lost);
    EXPECT_EQ(members_[lost].process->wait_for_exit(), bad_data_folder);
    EXPECT_NE(members_[lost].process->output().find("--init-replacement"),
              std::string::npos)
        << members_[lost].process->output();
    add_replacement("c4");
    start_member(3, {"--init-replacement"});
    apply({{"kind", "replace_member"},
           {"member", members_[lost].name},
           {"new_member", "c4"},
           {"peer_address", members_[3].address + ":" + std::to_string(peers_port)}});
    ASSERT_TRUE(wait_until_replaced(members_[lost].name, "c4"))
        << from_leader("/v1/status");
    const unsigned second = leader();
    members_[second].process->kill_now();
    std::filesystem::remove_all(data_folder(second));
    EXPECT_EQ(zones_in_force(), 7U);
    apply(zone_change());
    EXPECT_EQ(zones_in_force(), 8U);
}

// R17: a folder emptied on a running system that a member takes for its own.
TEST_F(member_proof_test, a_member_with_an_emptied_folder_does_not_start)
{
    start_control();
    const unsigned lost = (leader() + 1) % 3;
    members_[lost].process->kill_now();
    std::filesystem::remove_all(data_folder(lost));
    std::filesystem::create_directory(data_folder(lost));
    start_member(lost);
    EXPECT_EQ(members_[lost].process->wait_for_exit(), bad_data_folder);
    EXPECT_FALSE(members_[lost].process->output().empty());
    apply(zone_change());
}

// R10, R17: a member that goes on after a refused write and acknowledges what it lacks.
TEST_F(member_proof_test, a_member_whose_disk_refuses_writes_stops_and_the_others_go_on)
{
    std::signal(SIGXFSZ, SIG_IGN);
    start_control();
    for (const bool leads : {false, true}) {
        const unsigned leading = leader();
        const unsigned full = leads ? leading : (leading + 1) % 3;
        members_[full].process->limit_file_size(1);
        apply(zone_change());
        EXPECT_EQ(members_[full].process->wait_for_exit(), disk_failure)
            << members_[full].process->output();
        apply(zone_change());
        start_member(full);
        ASSERT_TRUE(wait_until([&] {
            const json status = from_leader("/v1/status");
            for (const json& one : status["members"]) {
                if (one["lag_entries"] != 0) {
                    return false;
                }
            }
            return true;
        })) << "the member did not catch up after its disk accepted writes again";
    }
    EXPECT_EQ(zones_in_force(), 6U);
}

// R24: a member that comes back after a long cut and ends the leader's term.
TEST_F(member_proof_test, a_member_cut_off_for_long_does_not_disturb_the_leader)
{
    start_control(3, true);
    const unsigned leading = leader();
    const unsigned away = (leading + 1) % 3;
    isolate(away, true);
    const std::uint64_t before = commit_index();
    // Longer than the election timeout (1 s), the silence limits (2 s, 5 s) and the
    // lease.
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(7);
    while (std::chrono::steady_clock::now() < end) {
        apply(zone_change());
        ASSERT_EQ(leader(), leading);
    }
    isolate(away, false);
    EXPECT_TRUE(wait_until([&] {
        const json status = from_leader("/v1/status");
        EXPECT_EQ(status["leader"], members_[leading].name);
        for (const json& one : status["members"]) {
            if (one["lag_entries"] != 0) {
                return false;
            }
        }
        return status["commit_index"] > before;
    })) << "the member did not catch up";
    EXPECT_EQ(leader(), leading);
}

// R24: a leader that is heard but hears nothing keeps its followers, or one that hears
// but is not heard keeps its leadership.
TEST_F(member_proof_test, a_leader_cut_off_in_one_direction_is_replaced)
{
    start_control(3, true);
    const unsigned deaf = leader();
    for (unsigned other = 0; other < 3; ++other) {
        if (other != deaf) {
            // What the others send, replies included, does not arrive.
            link(members_[deaf].name, members_[other].name).cut(false, true);
            link(members_[other].name, members_[deaf].name).cut(true, false);
        }
    }
    EXPECT_TRUE(wait_until([&] { return leader() != deaf; }));
    apply(zone_change());
    isolate(deaf, false);
    apply(zone_change());
    EXPECT_EQ(zones_in_force(), 4U);
}

// R10: a leader that wakes up long after it was replaced and still answers as leader.
TEST_F(member_proof_test, a_frozen_leader_steps_down_when_it_wakes)
{
    start_control();
    const unsigned frozen = leader();
    const prepared_change stale = prepare(zone_change());
    members_[frozen].process->send_signal(SIGSTOP);
    ASSERT_TRUE(wait_until([&] { return leader() != frozen; }));
    apply(zone_change());
    members_[frozen].process->send_signal(SIGCONT);
    // The revision of the frozen process is old: an acceptance would be a lost update.
    const operator_answer answer = confirm_at(frozen, stale);
    EXPECT_NE(answer.status, 200U) << answer.body;
    EXPECT_EQ(confirm(stale).status, 409U);
    EXPECT_EQ(zones_in_force(), 3U);
}

} // namespace
} // namespace curranthoist::testing
