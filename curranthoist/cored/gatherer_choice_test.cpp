#include "curranthoist/cored/gatherer_choice.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace curranthoist::cored {
namespace {

class gatherer_choice_test : public ::testing::Test
{
protected:
    gatherer_choice_test()
    {
        for (std::size_t i = 0; i < fronts; ++i) {
            gatherer_choice::candidate one;
            one.gatherer = {base::vm_id("vm-" + std::to_string(1000 + i)),
                            base::zone_id("z" + std::to_string(i % zones)),
                            {"10.0.0.1", static_cast<std::uint16_t>(1000 + i)}};
            one.since = base::instant(1000);
            fronts_.push_back(one);
        }
    }
    void update()
    {
        for (auto& one : fronts_) {
            one.last_report = silent_ == one.gatherer.name ? one.last_report : now_;
        }
        choice_.update(fronts_, now_);
    }
    [[nodiscard]] bool is_chosen(const base::vm_id& name) const
    {
        return std::any_of(choice_.chosen().begin(), choice_.chosen().end(),
                           [&](const auto& one) { return one.name == name; });
    }
    gatherer_choice::candidate& chosen_candidate(std::size_t index)
    {
        const base::vm_id name = choice_.chosen().at(index).name;
        return *std::find_if(fronts_.begin(), fronts_.end(),
                             [&](const auto& one) { return one.gatherer.name == name; });
    }

    static constexpr std::size_t fronts = 300;
    static constexpr std::size_t zones = 6;
    std::vector<gatherer_choice::candidate> fronts_;
    base::vm_id silent_;
    base::instant now_{10'000};
    gatherer_choice choice_{120, 7, base::instant(1000)};
};

// Guards against zones without gatherers, and against a choice that wanders.
TEST_F(gatherer_choice_test, each_zone_has_the_same_gatherers_while_they_live)
{
    update();
    EXPECT_EQ(choice_.chosen().size(), zones * gatherer_choice::gatherers_per_zone);
    const auto number = choice_.number();
    now_ = now_ + base::duration(60'000);
    std::reverse(fronts_.begin(), fronts_.end());
    update();
    EXPECT_EQ(choice_.number(), number);
}

// Guards against queries that go to a gatherer which has fallen silent or is stopping.
TEST_F(gatherer_choice_test, a_lost_gatherer_is_replaced_and_the_others_stay)
{
    update();
    const auto before = choice_.chosen();
    const base::vm_id stopping = chosen_candidate(3).gatherer.name;
    silent_ = chosen_candidate(9).gatherer.name;
    chosen_candidate(3).stopping = true;
    now_ = now_ + base::duration(1100);
    update();
    EXPECT_FALSE(is_chosen(stopping));
    EXPECT_FALSE(is_chosen(silent_));
    EXPECT_EQ(choice_.chosen().size(), before.size());
    EXPECT_EQ(std::count_if(before.begin(), before.end(),
                            [&](const auto& one) { return is_chosen(one.name); }),
              static_cast<std::ptrdiff_t>(before.size()) - 2);
}

// Guards against a change of the leader that replaces the gatherers, or leaves the fronts
// without any.
TEST_F(gatherer_choice_test, another_leader_chooses_the_same_gatherers)
{
    update();
    gatherer_choice next{120, 99, now_};
    EXPECT_FALSE(next.has_chosen());
    next.update(fronts_, now_ + base::duration(100));
    EXPECT_FALSE(next.has_chosen());
    now_ = now_ + gatherer_choice::settle_time;
    for (auto& one : fronts_) {
        one.last_report = now_;
    }
    std::reverse(fronts_.begin(), fronts_.end());
    next.update(fronts_, now_);
    EXPECT_TRUE(next.has_chosen());
    EXPECT_EQ(next.chosen(), choice_.chosen());
}

// Guards against a front process that gathers before it knows the targets.
TEST_F(gatherer_choice_test, a_new_front_process_does_not_gather_at_once)
{
    for (auto& one : fronts_) {
        one.since = now_;
    }
    update();
    EXPECT_TRUE(choice_.chosen().empty());
    now_ = now_ + gatherer_choice::min_age;
    update();
    EXPECT_FALSE(choice_.chosen().empty());
}

// Guards against gatherers that come and go around the limit.
TEST_F(gatherer_choice_test, few_front_processes_need_none)
{
    fronts_.resize(119);
    update();
    EXPECT_TRUE(choice_.chosen().empty());
    fronts_.push_back(fronts_.front());
    fronts_.back().gatherer.name = base::vm_id("vm-x");
    update();
    EXPECT_FALSE(choice_.chosen().empty());
    fronts_.resize(96);
    update();
    EXPECT_FALSE(choice_.chosen().empty());
    fronts_.pop_back();
    update();
    EXPECT_TRUE(choice_.chosen().empty());
}

} // namespace
} // namespace curranthoist::cored
