#include "curranthoist/control/cluster_state.hpp"
#include "curranthoist/control/commands.hpp"
#include "curranthoist/control/intent_json.hpp"
#include "curranthoist/control/plan.hpp"
#include "curranthoist/control/roster.hpp"
#include "curranthoist/wire/frame_codec.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>

namespace curranthoist::control {
namespace {

using nlohmann::json;

// Zones a and b with a VM each; service "full" demands complete responses, "loose" does
// not. Each has shard 0 in both zones and shard 1 in zone a only.
class plan_test : public testing::Test
{
protected:
    void SetUp() override
    {
        for (const char* zone : {"a", "b"}) {
            submit({{"kind", "add_zone"}, {"zone", zone}});
            submit({{"kind", "add_vm"},
                    {"vm", std::string("v") + zone},
                    {"zone", zone},
                    {"peer_address", "127.0.0.1:70" + std::to_string(number_++)}});
        }
        for (const std::string service : {"full", "loose"}) {
            json targets = json::array();
            for (const std::string name : {"0a", "0b", "1a"}) {
                targets.push_back(
                    {{"target", service + name},
                     {"zone", name.substr(1)},
                     {"address", "127.0.0.1:" + std::to_string(9000 + number_++)}});
            }
            submit({{"kind", "create_service"},
                    {"service", service},
                    {"service_kind", "query"},
                    {"demand_complete", service == "full"},
                    {"targets", targets}});
        }
    }
    intent read(const json& value)
    {
        base::findings found;
        intent wanted = read_intent(value, "intent", found);
        EXPECT_EQ(found.str(), "");
        return wanted;
    }
    void submit(const json& value)
    {
        encoded::operator_intent_message command;
        command.intent_id = std::to_string(++index_);
        command.operator_name = "op";
        command.base_revision = state_.operator_revision().value();
        command.value = std::make_unique<intent>(read(value));
        const auto result =
            state_.apply(base::log_index(index_),
                         encode_command(base::instant(1), std::move(command)));
        EXPECT_EQ(std::get<intent_result>(result).refused.str(), "");
    }
    // Assigns every target to VM va and lets it report the shards.
    void report_shards()
    {
        wire::heartbeat_message report;
        configuration assigned = state_.current();
        for (const auto& [id, spec] : assigned.targets) {
            assigned.assignments[id].owner = base::vm_id("va");
            auto fact = std::make_unique<wire::target_fact_message>();
            fact->target = id.str();
            fact->reachable = true;
            auto place = std::make_unique<wire::held_snapshot_message>();
            place->version = 3;
            place->shard = id.str().find('1') == std::string::npos ? 0 : 1;
            place->shards = 2;
            fact->snapshots.push_back(std::move(place));
            report.facts.push_back(std::move(fact));
        }
        const auto frame = wire::encode_frame(std::move(report));
        const std::span<const std::uint8_t> all(frame);
        facts_.merge(base::vm_id("va"),
                     *wire::verified_envelope(all.subspan(wire::frame_prefix_bytes))
                          ->body_as_heartbeat(),
                     assigned);
    }
    plan plan_of(const json& value) { return make_plan(state_, facts_, read(value)); }
    static bool mentions(const std::vector<std::string>& lines, const std::string& text)
    {
        return std::any_of(lines.begin(), lines.end(), [&](const std::string& line) {
            return line.find(text) != std::string::npos;
        });
    }

    cluster_state state_;
    roster facts_;
    std::uint64_t index_ = 0;
    int number_ = 10;
};

TEST_F(plan_test, lost_coverage_is_refused_only_for_a_service_that_demands_it)
{
    report_shards();
    const plan made = plan_of({{"kind", "zone_out"}, {"zone", "a"}});
    EXPECT_EQ(made.refused.str(), "intent.zone: service full would cover 1 of 2 shards, "
                                  "and it demands complete responses\n");
    EXPECT_TRUE(mentions(made.warnings, "service loose would cover 1 of 2 shards"));
    const plan one = plan_of({{"kind", "target_out"}, {"target", "full0a"}});
    EXPECT_TRUE(one.refused.empty());
    EXPECT_TRUE(mentions(one.warnings, "service full would have 2 shards with a single"));
    ASSERT_EQ(one.capacity.size(), 1U);
    EXPECT_EQ(one.capacity[0].slots_before, 6U);
    EXPECT_EQ(one.capacity[0].slots_left, 4U);
    EXPECT_EQ(one.capacity[0].covered_left, 2U);
}

TEST_F(plan_test, unknown_shards_are_a_warning)
{
    const plan made = plan_of({{"kind", "zone_out"}, {"zone", "a"}});
    EXPECT_TRUE(made.refused.empty());
    EXPECT_TRUE(mentions(made.warnings, "are not known"));
}

TEST_F(plan_test, the_last_zone_in_service_stays)
{
    submit({{"kind", "zone_out"}, {"zone", "b"}});
    EXPECT_EQ(plan_of({{"kind", "zone_out"}, {"zone", "a"}}).refused.str(),
              "intent.zone: zone 'a' is the last zone in service\n");
    EXPECT_EQ(plan_of({{"kind", "retire_vm"}, {"vm", "va"}}).refused.str(),
              "intent.vm: VM 'va' is the last VM in service\n");
}

TEST_F(plan_test, the_same_plan_has_the_same_id_until_an_operator_changes_something)
{
    const json wanted = {{"kind", "zone_out"}, {"zone", "a"}};
    const plan first = plan_of(wanted);
    EXPECT_EQ(plan_of(wanted).plan_id, first.plan_id);
    EXPECT_NE(plan_of({{"kind", "zone_out"}, {"zone", "b"}}).plan_id, first.plan_id);
    submit({{"kind", "set_limit"}, {"service", "loose"}, {"slots", 4}});
    EXPECT_NE(plan_of(wanted).plan_id, first.plan_id);
}

TEST(intent_json_test, every_mistake_is_reported_with_its_place)
{
    base::findings found;
    read_intent({{"kind", "create_service"},
                 {"service", 7},
                 {"demand_complete", "yes"},
                 {"colour", "red"},
                 {"targets", {{{"target", "t"}, {"zone", "a"}, {"slots", -1}}}}},
                "intent", found);
    EXPECT_EQ(found.str(),
              "intent.service: is not a text with at least one character\n"
              "intent.service_kind: is missing\n"
              "intent.demand_complete: is not true or false\n"
              "intent.targets[0].address: is missing\n"
              "intent.targets[0].slots: is not an integer from 0 to 4294967295\n"
              "intent.colour: unknown field\n");
}

} // namespace
} // namespace curranthoist::control
