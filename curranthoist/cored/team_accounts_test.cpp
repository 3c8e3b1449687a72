#include "curranthoist/cored/team_accounts.hpp"
#include "curranthoist/forwarding/team_admission.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <vector>

namespace curranthoist::cored {
namespace {

using namespace base::literals;

constexpr base::duration report_interval = 400_ms;
const base::endpoint leader{"10.0.0.1", 7000};
constexpr base::term leader_term{1};

// Many VMs that report to one leader with a delay, and callers that reach them at random.
class replay
{
public:
    replay(std::size_t vm_count, deployment::team team)
        : team_(std::move(team))
        , random_(7)
    {
        for (std::size_t i = 0; i < vm_count; ++i) {
            vms_.push_back(std::make_unique<forwarding::team_admission>(i + 1, 20));
            vms_.back()->set_vm_count(vm_count);
            vms_.back()->on_leader(leader, leader_term, now_);
        }
        accounts_.set_teams(std::span(&team_, 1), now_);
    }

    // `rate` requests a second for this time.
    void run(double rate, base::duration length, bool leader_is_heard = true)
    {
        const base::instant end = now_ + length;
        for (; now_ < end; now_ = now_ + 1_ms) {
            if (random_.chance(rate / 1000.0)) {
                const std::size_t vm = random_.below(vms_.size());
                ++arrived_;
                if (!vms_[vm]->refusal(team_, now_)) {
                    admitted_at_.push_back(now_);
                }
            }
            for (std::size_t vm = 0; leader_is_heard && vm < vms_.size(); ++vm) {
                const auto turn = static_cast<std::int64_t>(vm) *
                                  report_interval.count() /
                                  static_cast<std::int64_t>(vms_.size());
                if (now_.count() % report_interval.count() == turn) {
                    accounts_.add(vms_[vm]->report_uses(), now_);
                    vms_[vm]->on_leader(leader, leader_term, now_);
                    vms_[vm]->set_shares(accounts_.shares(now_));
                }
            }
        }
    }
    // The most that was admitted in any span of five seconds.
    [[nodiscard]] std::size_t max_in_window() const
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t i = 0; i < admitted_at_.size(); ++i) {
            while (admitted_at_[i] - admitted_at_[first] >= 5000_ms) {
                ++first;
            }
            most = std::max(most, i - first + 1);
        }
        return most;
    }
    [[nodiscard]] std::size_t allowed_in_window() const
    {
        return static_cast<std::size_t>((team_.rate * 5 + team_.burst) * 1.1 + 20);
    }
    void change_limit(double rate)
    {
        team_.rate = rate;
        team_.burst = rate;
        accounts_.set_teams(std::span(&team_, 1), now_);
        admitted_at_.clear();
    }

    [[nodiscard]] std::size_t arrived() const { return arrived_; }
    [[nodiscard]] std::size_t admitted() const { return admitted_at_.size(); }

private:
    deployment::team team_;
    base::random_source random_;
    base::instant now_ = base::instant() + 100'000_ms;
    team_accounts accounts_{20};
    std::vector<std::unique_ptr<forwarding::team_admission>> vms_;
    std::deque<base::instant> admitted_at_;
    std::size_t arrived_ = 0;
};

// Guards against refusals of a team that stays within its limit.
TEST(team_accounts_test, a_team_within_its_limit_is_never_refused)
{
    replay load(94, {"a", {}, 0, 17, 17});
    load.run(10, 30'000_ms);
    EXPECT_EQ(load.admitted(), load.arrived());
}

// Guards against a team that sends many times its rate, and whose requests exceed its
// limit in sum although no VM sees more than one in a second.
TEST(team_accounts_test, the_sum_over_all_vms_holds_for_a_team_that_turns_hot)
{
    for (const std::size_t vms : {9U, 94U, 300U}) {
        replay load(vms, {"a", {}, 0, 17, 17});
        load.run(10, 10'000_ms);
        load.run(80, 10'000_ms);
        load.run(10, 10'000_ms);
        EXPECT_LE(load.max_in_window(), load.allowed_in_window()) << vms;
        // What fits is admitted: 30 s at 10 or 17 a second.
        EXPECT_GT(load.admitted(), 330U) << vms;
    }
}

// Guards against a limit that was lowered far below what the team sends.
TEST(team_accounts_test, a_lowered_limit_binds_after_one_window)
{
    replay load(94, {"a", {}, 0, 40, 40});
    load.run(30, 10'000_ms);
    load.change_limit(3);
    load.run(30, 5000_ms);
    load.change_limit(3);
    load.run(30, 15'000_ms);
    EXPECT_LE(load.max_in_window(), load.allowed_in_window());
}

// Guards against a leader that leads again with the credit of its earlier term, which
// teams may have used under another leader.
TEST(team_accounts_test, teams_that_were_dropped_start_without_their_burst)
{
    constexpr double slack = 20;
    const deployment::team team{"a", {}, 0, 17, 17};
    const base::instant begin(100'000);
    team_accounts accounts(slack);
    accounts.set_teams(std::span(&team, 1), begin);
    accounts.set_teams({}, begin + 10'000_ms);
    accounts.set_teams(std::span(&team, 1), begin + 10'000_ms);
    EXPECT_LE(accounts.standings(begin + 10'000_ms).at(0).credit, slack / 4);
}

// Guards against VMs that are cut off from the core, each of which would admit the whole
// rate.
TEST(team_accounts_test, vms_that_hear_no_leader_admit_their_equal_parts)
{
    replay load(94, {"a", {}, 0, 17, 17});
    load.run(10, 5000_ms);
    load.run(80, 20'000_ms, false);
    EXPECT_GT(load.admitted(), 200U);
}

// Guards against a VM that admits everything by the account of a leader that leads again
// in a later term and has dropped it.
TEST(team_accounts_test, a_leader_of_a_later_term_is_a_new_one)
{
    constexpr std::size_t vm_count = 10;
    constexpr int requests = 10;
    const deployment::team limited{"hot", {}, 0, 10.0, 10.0};
    for (const bool is_later : {false, true}) {
        base::instant now{100'000};
        forwarding::team_admission vm(1, 0);
        vm.set_vm_count(vm_count);
        vm.on_leader(leader, leader_term, now);
        vm.set_shares({});
        now = now + report_interval;
        vm.on_leader(leader, is_later ? leader_term.next() : leader_term, now);
        vm.set_shares({});
        int admitted = 0;
        for (int i = 0; i < requests; ++i) {
            admitted += vm.refusal(limited, now) ? 0 : 1;
        }
        EXPECT_EQ(admitted, is_later ? 1 : requests);
    }
}

} // namespace
} // namespace curranthoist::cored
