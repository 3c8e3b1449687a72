// Disks of the core's members that are full in turn, with real processes.
#include "curranthoist/testing/platform/platform_fixture.hpp"

#include <chrono>
#include <csignal>
#include <set>
#include <thread>

namespace curranthoist::testing {
namespace {

// The exit code of a member whose disk refused a write.
constexpr int disk_failure = 70;
// Operators expect the acknowledgement of an order within this time while no member is
// disturbed.
constexpr base::duration acknowledgement_limit{5000};
// For how long a disk stays full.
constexpr base::duration full_time{3000};

class full_disk_test : public platform_fixture
{
protected:
    static constexpr std::size_t member_count = 4;

    full_disk_test()
    {
        // A write over the limit is to fail rather than to end the process.
        std::signal(SIGXFSZ, SIG_IGN);
        add_vms(member_count);
        for (std::size_t vm = 0; vm < member_count; ++vm) {
            cores_.push_back(&start_core(vm));
        }
    }
    void fill(std::size_t vm)
    {
        full_.insert(vm);
        was_full_.insert(vm);
        cores_[vm]->limit_file_size(1);
    }
    void make_room(std::size_t vm)
    {
        full_.erase(vm);
        cores_[vm]->allow_any_file_size();
    }
    // Starts the core processes that have ended anew, as the platform does. Their disks
    // stay as full as they are.
    void restart_ended()
    {
        for (std::size_t vm = 0; vm < member_count; ++vm) {
            if (cores_[vm]->is_running()) {
                continue;
            }
            EXPECT_EQ(cores_[vm]->wait_for_exit(), disk_failure) << vm;
            EXPECT_EQ(was_full_.erase(vm), 1U) << vm;
            cores_[vm] = &start_core(vm, false);
            if (full_.contains(vm)) {
                fill(vm);
            }
        }
    }
    // Sends a change until it is acknowledged, as operators do.
    bool change(base::duration limit = base::duration(10'000))
    {
        const nlohmann::json wanted = configuration(++version_);
        return wait_until(
            [&] {
                restart_ended();
                return operate("POST", "/v1/configuration/replace", wanted.dump()) == 200;
            },
            limit);
    }
    // Sends changes all the while, if they are wanted.
    void pass_full_time(bool with_changes)
    {
        const auto end = std::chrono::steady_clock::now() +
                         std::chrono::milliseconds(full_time.count());
        while (std::chrono::steady_clock::now() < end) {
            if (with_changes) {
                ASSERT_TRUE(change()) << "version " << version_;
            }
            restart_ended();
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
    }
    bool all_vote()
    {
        restart_ended();
        for (std::size_t vm = 0; vm < member_count; ++vm) {
            if (core_metric(vm, "curranthoist_core_votes") != 1 ||
                core_metric(vm, "curranthoist_core_voters") != member_count) {
                return false;
            }
        }
        return true;
    }
    // The next disk is filled as soon as the one before has room.
    void fill_in_turn(bool with_changes)
    {
        for (std::size_t vm = 0; vm < member_count; ++vm) {
            fill(vm);
            pass_full_time(with_changes);
            make_room(vm);
        }
    }

    std::uint64_t version_ = 0;

private:
    // The VMs whose disks are full now, and were at some time since their process began.
    std::set<std::size_t> full_;
    std::set<std::size_t> was_full_;
};

// Guards against members that are out for good, one after the other, after their disks
// were full for a few seconds, until no change can be acknowledged any more.
TEST_F(full_disk_test, changes_go_on_while_disks_are_full_in_turn)
{
    ASSERT_TRUE(change());
    ASSERT_TRUE(wait_until([&] { return all_vote(); }));
    fill_in_turn(true);
    ASSERT_TRUE(wait_until([&] { return all_vote(); }));
    ASSERT_TRUE(change(acknowledgement_limit));
    EXPECT_EQ(version_read_back(), version_);
    EXPECT_TRUE(wait_until([&] { return all_vote(); }));
}

// Guards against members that notice only with the first change that their disk was full,
// after it has room again.
TEST_F(full_disk_test, the_first_change_after_disks_were_full_in_turn_is_acknowledged)
{
    ASSERT_TRUE(change());
    ASSERT_TRUE(wait_until([&] { return all_vote(); }));
    fill_in_turn(false);
    ASSERT_TRUE(change(acknowledgement_limit));
    EXPECT_EQ(version_read_back(), version_);
    EXPECT_TRUE(wait_until([&] { return all_vote(); }));
}

// Guards against a full disk that turns a restart of all members into a lasting outage:
// each of them must write its vote first.
TEST_F(full_disk_test, a_restart_of_all_members_with_a_full_disk_each_time)
{
    ASSERT_TRUE(change());
    ASSERT_TRUE(wait_until([&] { return all_vote(); }));
    for (std::size_t full = 0; full < member_count; ++full) {
        for (std::size_t vm = 0; vm < member_count; ++vm) {
            cores_[vm]->kill_now();
        }
        for (std::size_t vm = 0; vm < member_count; ++vm) {
            cores_[vm] = &start_core(vm, false);
        }
        fill(full);
        pass_full_time(false);
        EXPECT_TRUE(change()) << full;
        make_room(full);
        EXPECT_TRUE(wait_until([&] { return all_vote(); })) << full;
    }
    EXPECT_EQ(version_read_back(), version_);
}

} // namespace
} // namespace curranthoist::testing
