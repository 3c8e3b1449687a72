#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/control/cluster_state.hpp"
#include "curranthoist/control/commands.hpp"
#include "curranthoist/control/configuration_codec.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <utility>

namespace curranthoist::control {
namespace {

constexpr std::int64_t now_ms = 1'700'000'000'000;
constexpr std::uint64_t after_every_time = std::uint64_t{1} << 63;
constexpr auto last_time = std::numeric_limits<std::int64_t>::max();

std::vector<std::uint8_t> pack(encoded::state_snapshot_message content)
{
    if (content.configuration.empty()) {
        const auto none = to_message(configuration{});
        flatbuffers::FlatBufferBuilder builder;
        builder.Finish(wire::configuration::Pack(builder, &none));
        content.configuration.assign(builder.GetBufferPointer(),
                                     builder.GetBufferPointer() + builder.GetSize());
    }
    encoded::file_message file;
    file.content.Set(std::move(content));
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(encoded::file::Pack(builder, &file));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

template <class Body>
bool is_malformed(Body body, std::int64_t at = now_ms)
{
    cluster_state state;
    const auto result = state.apply(base::log_index(1),
                                    encode_command(base::instant(at), std::move(body)));
    return std::holds_alternative<malformed_result>(result) &&
           state.time() == base::instant();
}

std::unique_ptr<encoded::kept_outcome_message> outcome(std::uint64_t time_ms)
{
    auto kept = std::make_unique<encoded::kept_outcome_message>();
    kept->intent_id = "i";
    kept->time_ms = time_ms;
    return kept;
}

std::unique_ptr<encoded::kept_claim_message> claim(const std::string& id)
{
    auto kept = std::make_unique<encoded::kept_claim_message>();
    kept->request_id = id;
    return kept;
}

TEST(damaged_state_test, a_well_formed_snapshot_is_restored)
{
    encoded::state_snapshot_message content;
    content.time_ms = now_ms;
    content.outcomes.push_back(outcome(now_ms));
    content.claims.push_back(claim("1700000000000-a"));
    EXPECT_EQ(cluster_state::restore(pack(std::move(content))).time().count(), now_ms);
}

// Guards against an outcome that is dropped while its id is still in the order of age:
// the next command then read past the end of the map.
TEST(damaged_state_test, a_snapshot_that_holds_an_outcome_or_claim_twice_is_refused)
{
    encoded::state_snapshot_message outcomes;
    outcomes.outcomes.push_back(outcome(1));
    outcomes.outcomes.push_back(outcome(1));
    EXPECT_THROW(cluster_state::restore(pack(std::move(outcomes))), base::findings_error);
    encoded::state_snapshot_message claims;
    claims.claims.push_back(claim("17-a"));
    claims.claims.push_back(claim("17-a"));
    EXPECT_THROW(cluster_state::restore(pack(std::move(claims))), base::findings_error);
}

// Guards against times whose sum with a retention overflows.
TEST(damaged_state_test, a_snapshot_with_a_time_out_of_range_is_refused)
{
    for (const std::uint64_t time :
         {after_every_time, static_cast<std::uint64_t>(last_time)}) {
        encoded::state_snapshot_message state;
        state.time_ms = time;
        EXPECT_THROW(cluster_state::restore(pack(std::move(state))),
                     base::findings_error);
        encoded::state_snapshot_message kept;
        kept.outcomes.push_back(outcome(time));
        EXPECT_THROW(cluster_state::restore(pack(std::move(kept))), base::findings_error);
    }
}

TEST(damaged_state_test, a_snapshot_with_an_unknown_claim_status_is_refused)
{
    encoded::state_snapshot_message content;
    content.claims.push_back(claim("17-a"));
    content.claims.back()->status = static_cast<encoded::claim_status>(9);
    EXPECT_THROW(cluster_state::restore(pack(std::move(content))), base::findings_error);
}

// One such command would move the replicated time to its end for good.
TEST(damaged_state_test, a_command_with_a_time_out_of_range_changes_nothing)
{
    EXPECT_TRUE(is_malformed(encoded::claim_message{}, last_time));
    EXPECT_TRUE(is_malformed(encoded::claim_message{}, -1));
    EXPECT_FALSE(is_malformed(encoded::claim_message{}));
}

// An unknown step was carried out as `own`, without the check of the owner.
TEST(damaged_state_test, a_command_with_an_unknown_enumerator_changes_nothing)
{
    encoded::record_claim_message record;
    record.result = static_cast<encoded::claim_status>(9);
    EXPECT_TRUE(is_malformed(std::move(record)));
    encoded::change_assignments_message changes;
    changes.changes.push_back(std::make_unique<encoded::assignment_change_message>());
    changes.changes.back()->step = static_cast<encoded::assignment_step>(9);
    EXPECT_TRUE(is_malformed(std::move(changes)));
}

} // namespace
} // namespace curranthoist::control
