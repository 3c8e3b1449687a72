#include "curranthoist/control/assignment_controller.hpp"
#include "curranthoist/control/configuration.hpp"
#include "curranthoist/control/roster.hpp"
#include "curranthoist/wire/frame_codec.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace curranthoist::control {
namespace {

using encoded::assignment_step;
using namespace base::literals;

// Four zones, ten VMs and 100 targets: two for each of 50 shards, in different zones.
class assignment_controller_test : public testing::Test
{
protected:
    static constexpr int shards = 50;

    void SetUp() override
    {
        for (const char* zone : {"z0", "z1", "z2", "z3"}) {
            current_.zones[base::zone_id(zone)] = zone_spec{};
        }
        current_.services[base::service_id("s")] = service_spec{};
        for (int i = 0; i < 10; ++i) {
            add_vm(i);
        }
        for (int i = 0; i < 2 * shards; ++i) {
            target_spec spec;
            spec.service = base::service_id("s");
            spec.zone = zone((i / 2 + i % 2) % 4);
            current_.targets[target(i)] = spec;
        }
    }
    static base::zone_id zone(int i) { return base::zone_id("z" + std::to_string(i)); }
    static base::vm_id vm(int i) { return base::vm_id("v" + std::to_string(i)); }
    static base::target_id target(int i)
    {
        return base::target_id("t" + std::to_string(i));
    }
    void add_vm(int i)
    {
        current_.vms[vm(i)] = vm_spec{zone(i % 4), {}, true};
        views_[vm(i)] = {true, true, true};
    }
    // Applies what the controller wants, as the state would, until it wants nothing.
    // Owners release at once. Returns the number of targets that got an owner.
    int settle()
    {
        int owned = 0;
        for (int round = 0; round < 200; ++round) {
            const auto changes = controller_.step({current_, facts_, views_, now_});
            if (changes.empty()) {
                return owned;
            }
            for (const auto& change : changes) {
                owned += change->step == assignment_step::own ? 1 : 0;
                apply(*change);
            }
            now_ = now_ + 100_ms;
        }
        ADD_FAILURE() << "the controller never stops changing assignments";
        return owned;
    }
    void apply(const encoded::assignment_change_message& change)
    {
        const base::target_id id(change.target);
        if (change.step == assignment_step::remove) {
            current_.assignments.erase(id);
        }
        else if (change.step == assignment_step::own) {
            current_.assignments[id] =
                assignment{base::vm_id(change.owner), ++fence_, assignment_phase::owned,
                           change.warm, change.pace_milli_per_s};
        }
        else {
            assignment& held = current_.assignments.at(id);
            held.phase = assignment_phase::releasing;
            if (views_.at(held.owner).open) {
                controller_.on_released(id, {held.number, true, 5000});
            }
        }
    }
    void report_shards()
    {
        for (const auto& [id, held] : current_.assignments) {
            const auto number = std::stoul(id.str().substr(1));
            wire::heartbeat_message report;
            report.facts.push_back(std::make_unique<wire::target_fact_message>());
            report.facts[0]->target = id.str();
            report.facts[0]->reachable = true;
            auto place = std::make_unique<wire::held_snapshot_message>();
            place->version = 1;
            place->shard = static_cast<std::uint32_t>(number / 2);
            place->shards = shards;
            report.facts[0]->snapshots.push_back(std::move(place));
            const auto frame = wire::encode_frame(std::move(report));
            const std::span<const std::uint8_t> all(frame);
            const auto* message =
                wire::verified_envelope(all.subspan(wire::frame_prefix_bytes));
            facts_.merge(held.owner, *message->body_as_heartbeat(), current_);
        }
    }
    std::map<base::vm_id, int> loads() const
    {
        std::map<base::vm_id, int> result;
        for (const auto& [id, view] : views_) {
            if (view.usable) {
                result[id] = 0;
            }
        }
        for (const auto& [id, held] : current_.assignments) {
            ++result[held.owner];
        }
        return result;
    }
    int spread() const
    {
        const auto all = loads();
        const auto [low, high] =
            std::minmax_element(all.begin(), all.end(), [](const auto& a, const auto& b) {
                return a.second < b.second;
            });
        return high->second - low->second;
    }
    // Shards whose two targets have one owner.
    int shared_shards() const
    {
        int count = 0;
        for (int i = 0; i < shards; ++i) {
            const auto first = current_.assignments.find(target(2 * i));
            const auto second = current_.assignments.find(target(2 * i + 1));
            const bool both = first != current_.assignments.end() &&
                              second != current_.assignments.end();
            count += both && first->second.owner == second->second.owner ? 1 : 0;
        }
        return count;
    }

    configuration current_;
    roster facts_;
    std::map<base::vm_id, assignment_controller::vm_view> views_;
    assignment_controller controller_;
    base::instant now_{100'000};
    struct
    {
        std::uint64_t last = 0;
        base::fence operator++() { return base::fence(++last); }
    } fence_;
};

TEST_F(assignment_controller_test, targets_are_spread_evenly_and_prefer_their_zone)
{
    EXPECT_EQ(settle(), 100);
    EXPECT_LE(spread(), 2);
    int same = 0;
    for (const auto& [id, held] : current_.assignments) {
        same += current_.targets.at(id).zone == current_.vms.at(held.owner).zone ? 1 : 0;
    }
    EXPECT_GE(same, 80);
}

TEST_F(assignment_controller_test, targets_of_one_shard_move_apart_once_shards_are_known)
{
    settle();
    for (int i = 0; i < shards; ++i) {
        current_.assignments[target(2 * i + 1)].owner =
            current_.assignments[target(2 * i)].owner;
    }
    report_shards();
    now_ = now_ + 6_s;
    settle();
    for (int i = 0; i < 10; ++i) {
        now_ = now_ + 6_s;
        settle();
    }
    EXPECT_EQ(shared_shards(), 0);
    EXPECT_LE(spread(), 2);
}

TEST_F(assignment_controller_test, a_lost_vm_moves_only_its_own_targets)
{
    settle();
    report_shards();
    const auto before = current_.assignments;
    const int load = loads().at(vm(3));
    views_[vm(3)] = {};
    EXPECT_EQ(settle(), load);
    for (const auto& [id, held] : before) {
        if (held.owner != vm(3)) {
            EXPECT_EQ(current_.assignments.at(id), held);
        }
    }
    EXPECT_EQ(shared_shards(), 0);
    views_[vm(3)] = {true, true, true};
    EXPECT_EQ(settle(), 0) << "a VM that is back takes nothing before it has settled";
    now_ = now_ + 6_s;
    int moves = 0;
    for (int i = 0; i < 10; ++i) {
        moves += settle();
    }
    EXPECT_LE(moves, load + 2);
    EXPECT_LE(spread(), 2);
}

TEST_F(assignment_controller_test, zone_out_releases_its_targets_and_empties_its_vms)
{
    settle();
    current_.zones[zone(1)].in_service = false;
    for (auto& [id, view] : views_) {
        if (current_.vms.at(id).zone == zone(1)) {
            view = {false, false, true};
        }
    }
    settle();
    for (const auto& [id, spec] : current_.targets) {
        EXPECT_EQ(current_.assignments.contains(id), spec.zone != zone(1)) << id.str();
    }
    for (const auto& [id, held] : current_.assignments) {
        EXPECT_NE(current_.vms.at(held.owner).zone, zone(1)) << id.str();
        EXPECT_EQ(held.phase, assignment_phase::owned);
    }
    EXPECT_LE(spread(), 2);
    current_.zones[zone(1)].in_service = true;
    for (auto& [id, view] : views_) {
        view = {true, true, true};
    }
    settle();
    EXPECT_EQ(current_.assignments.size(), 100U);
}

TEST_F(assignment_controller_test, new_owner_waits_for_release_or_lease_and_inherits_pace)
{
    settle();
    const assignment held = current_.assignments.at(target(0));
    const auto changes_of = [this](const base::target_id& id) {
        auto changes = controller_.step({current_, facts_, views_, now_});
        std::erase_if(changes, [&](const auto& one) { return one->target != id.str(); });
        return changes;
    };
    current_.assignments.at(target(0)).phase = assignment_phase::releasing;
    EXPECT_TRUE(changes_of(target(0)).empty()) << "neither released nor lost";
    controller_.on_released(target(0), {base::fence(held.number.value() + 1), true, 1});
    EXPECT_TRUE(changes_of(target(0)).empty()) << "released under another fence";
    controller_.on_released(target(0), {held.number, true, 7000});
    const auto changes = changes_of(target(0));
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0]->step, assignment_step::own);
    EXPECT_TRUE(changes[0]->reported_released);
    EXPECT_TRUE(changes[0]->warm);
    EXPECT_EQ(changes[0]->pace_milli_per_s, 7000U);
}

} // namespace
} // namespace curranthoist::control
