#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/base/random_source.hpp"
#include "curranthoist/control/cluster_state.hpp"
#include "curranthoist/control/commands.hpp"
#include "curranthoist/control/intent.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace curranthoist::control {
namespace {

using status = intent_result::status;

constexpr std::int64_t day_ms = 24LL * 60 * 60 * 1000;

class cluster_state_test : public testing::Test
{
protected:
    void SetUp() override
    {
        submit("z1", zone_intent("z1", intent_kind::add_zone));
        submit("z2", zone_intent("z2", intent_kind::add_zone));
        intent vm;
        vm.kind = intent_kind::add_vm;
        vm.subject = "v1";
        vm.zone = "z1";
        vm.address = "127.0.0.1:7000";
        submit("v1", vm);
        open("v1", 5);
    }
    template <class Body>
    apply_result apply(Body body)
    {
        index_ = index_.next();
        return state_.apply(index_, encode_command(base::instant(now_), std::move(body)));
    }
    static intent zone_intent(const std::string& zone, intent_kind kind)
    {
        intent wanted;
        wanted.kind = kind;
        wanted.subject = zone;
        return wanted;
    }
    intent_result submit(const std::string& id, const intent& wanted,
                         std::optional<base::revision> base = std::nullopt)
    {
        encoded::operator_intent_message command;
        command.intent_id = id;
        command.operator_name = "op";
        command.base_revision = base.value_or(state_.operator_revision()).value();
        command.value = std::make_unique<intent>(wanted);
        return std::get<intent_result>(apply(std::move(command)));
    }
    incarnation_result open(const std::string& vm, std::uint64_t run)
    {
        encoded::open_incarnation_message command;
        command.vm = vm;
        command.incarnation = run;
        return std::get<incarnation_result>(apply(std::move(command)));
    }
    incarnation_result close(const std::string& vm)
    {
        encoded::close_incarnation_message command;
        command.vm = vm;
        const open_process process = state_.open_processes().at(base::vm_id(vm));
        command.incarnation = process.run.value();
        command.opened_at = process.opened_at.value();
        return std::get<incarnation_result>(apply(std::move(command)));
    }
    std::string request(std::int64_t at, const std::string& unique = "a") const
    {
        return std::to_string(at) + "-" + unique;
    }
    claim_result claim(const std::string& id, std::uint64_t attempt,
                       std::uint64_t run = 5, const std::string& vm = "v1")
    {
        encoded::claim_message command;
        command.request_id = id;
        command.vm = vm;
        command.incarnation = run;
        command.attempt = attempt;
        return std::get<claim_result>(apply(std::move(command)));
    }
    bool record(const std::string& id, std::uint64_t attempt, claim_status result,
                const std::string& body = {})
    {
        encoded::record_claim_message command;
        command.request_id = id;
        command.vm = "v1";
        command.incarnation = 5;
        command.attempt = attempt;
        command.result = result;
        command.body.assign(body.begin(), body.end());
        command.body_bytes = body.size();
        return std::get<record_result>(apply(std::move(command))).stored;
    }
    void restart() { state_ = cluster_state::restore(state_.snapshot()); }

    std::int64_t now_ = 1'800'000'000'000;
    base::log_index index_;
    cluster_state state_;
};

TEST_F(cluster_state_test, of_two_operators_with_one_base_revision_exactly_one_wins)
{
    const base::revision base = state_.operator_revision();
    const auto first = submit("a", zone_intent("z2", intent_kind::zone_out), base);
    const auto second = submit("b", zone_intent("z1", intent_kind::zone_out), base);
    EXPECT_EQ(first.result, status::accepted);
    EXPECT_EQ(second.result, status::stale);
    ASSERT_EQ(second.since.size(), 1U);
    EXPECT_EQ(second.since[0].intent.str(), "a");
    EXPECT_TRUE(state_.current().zones.at(base::zone_id("z1")).in_service);
}

TEST_F(cluster_state_test, resend_returns_the_first_outcome_after_a_restart)
{
    const base::revision base = state_.operator_revision();
    const intent wanted = zone_intent("z2", intent_kind::zone_out);
    const auto first = submit("a", wanted, base);
    submit("b", zone_intent("z2", intent_kind::zone_in));
    restart();
    const auto again = submit("a", wanted, base);
    EXPECT_EQ(again.result, status::repeated);
    EXPECT_EQ(again.outcome, first.outcome);
    const auto other = submit("a", zone_intent("z1", intent_kind::zone_out));
    EXPECT_EQ(other.result, status::id_reused);
    EXPECT_TRUE(state_.current().zones.at(base::zone_id("z2")).in_service);
}

TEST_F(cluster_state_test, assignments_by_the_leader_keep_plans_valid)
{
    intent service;
    service.subject = "s";
    service.targets.push_back(std::make_unique<encoded::declared_target_message>());
    service.targets[0]->id = "t";
    service.targets[0]->zone = "z1";
    service.targets[0]->address = "127.0.0.1:9000";
    submit("s", service);
    const base::revision base = state_.operator_revision();
    encoded::change_assignments_message command;
    command.changes.push_back(std::make_unique<encoded::assignment_change_message>());
    command.changes[0]->target = "t";
    command.changes[0]->owner = "v1";
    apply(std::move(command));
    EXPECT_GT(state_.current().number, base);
    EXPECT_EQ(submit("a", zone_intent("z2", intent_kind::zone_out), base).result,
              status::accepted);
}

TEST_F(cluster_state_test, refused_intent_changes_nothing_and_names_every_place)
{
    intent service;
    service.subject = "s p";
    service.slots = 0;
    service.max_deadline_ms = 99'999;
    for (int i = 0; i < 2; ++i) {
        service.targets.push_back(std::make_unique<encoded::declared_target_message>());
        service.targets[static_cast<std::size_t>(i)]->id = "t";
        service.targets[static_cast<std::size_t>(i)]->zone = "nowhere";
        service.targets[static_cast<std::size_t>(i)]->address = "127.0.0.1:9000";
    }
    const configuration before = state_.current();
    const auto result = submit("a", service);
    EXPECT_EQ(result.result, status::refused);
    EXPECT_EQ(result.refused.str(),
              "intent.service: name has a character other than letters, digits, '-', "
              "'_', '.'\n"
              "intent.max_deadline_ms: 99999 is not in 1 to 3500\n"
              "intent.targets[0].zone: unknown zone 'nowhere'\n"
              "intent.targets[1].target: duplicate target 't'\n"
              "intent.targets[1].zone: unknown zone 'nowhere'\n"
              "intent.targets[1].address: address 127.0.0.1:9000 belongs to another "
              "target\n");
    EXPECT_EQ(state_.current(), before);
    submit("b", zone_intent("z1", intent_kind::zone_in));
    EXPECT_EQ(submit("c", zone_intent("z1", intent_kind::zone_out)).result,
              status::refused)
        << "the only VM is in that zone";
}

TEST_F(cluster_state_test, a_claim_is_granted_once)
{
    const std::string id = request(now_);
    EXPECT_EQ(claim(id, 1).answer, claim_answer::granted);
    EXPECT_EQ(claim(id, 1).answer, claim_answer::pending);
    EXPECT_EQ(claim(id, 2).answer, claim_answer::pending);
    EXPECT_FALSE(record(id, 2, claim_status::ran, "forged"));
    EXPECT_TRUE(record(id, 1, claim_status::ran, "done"));
    EXPECT_TRUE(record(id, 1, claim_status::ran, "done"));
    EXPECT_FALSE(record(id, 1, claim_status::freed));
    restart();
    const auto again = claim(id, 3);
    EXPECT_EQ(again.answer, claim_answer::ran);
    EXPECT_EQ(std::string(again.body.begin(), again.body.end()), "done");
}

TEST_F(cluster_state_test, not_run_frees_the_id_but_not_for_a_delayed_duplicate)
{
    const std::string id = request(now_);
    claim(id, 1);
    EXPECT_TRUE(record(id, 1, claim_status::freed));
    EXPECT_EQ(claim(id, 1).answer, claim_answer::refused);
    EXPECT_EQ(claim(id, 2).answer, claim_answer::granted);
    EXPECT_FALSE(record(id, 1, claim_status::ran, "late"));
}

TEST_F(cluster_state_test, lease_loss_and_a_new_incarnation_make_claims_unknown_for_good)
{
    const std::string first = request(now_, "a");
    const std::string second = request(now_, "b");
    claim(first, 1);
    EXPECT_EQ(close("v1").abandoned, 1U);
    EXPECT_EQ(claim(second, 2).answer, claim_answer::refused) << "no open process";
    open("v1", 5);
    claim(second, 3);
    EXPECT_EQ(open("v1", 6).abandoned, 1U);
    EXPECT_EQ(claim(first, 4, 6).answer, claim_answer::unknown);
    EXPECT_FALSE(record(second, 3, claim_status::ran, "late"));
    EXPECT_EQ(claim(second, 5, 6).answer, claim_answer::unknown);
    EXPECT_EQ(claim(second, 6, 5).answer, claim_answer::refused) << "the old process";
}

TEST_F(cluster_state_test, delayed_duplicate_of_a_close_leaves_a_reopened_process_open)
{
    encoded::close_incarnation_message old;
    old.vm = "v1";
    old.incarnation = 5;
    old.opened_at = state_.open_processes().at(base::vm_id("v1")).opened_at.value();
    close("v1");
    open("v1", 5);
    EXPECT_FALSE(std::get<incarnation_result>(apply(std::move(old))).closed);
}

TEST_F(cluster_state_test, claims_are_kept_by_the_time_in_the_id)
{
    EXPECT_EQ(claim(request(now_ + 300'001), 1).answer, claim_answer::too_new);
    EXPECT_EQ(claim(request(now_ - day_ms - 1), 2).answer, claim_answer::expired);
    EXPECT_EQ(claim("no time", 3).answer, claim_answer::refused);
    const std::string id = request(now_);
    claim(id, 4);
    now_ += day_ms;
    EXPECT_EQ(claim(id, 5).answer, claim_answer::pending);
    now_ += 1;
    EXPECT_EQ(claim(id, 6).answer, claim_answer::expired);
    now_ -= day_ms;
    EXPECT_EQ(claim(id, 7).answer, claim_answer::expired) << "time goes back";
    EXPECT_EQ(state_.claims().size(), 0U);
}

TEST_F(cluster_state_test, response_too_long_to_keep_is_reported_as_such)
{
    const std::string id = request(now_);
    claim(id, 1);
    EXPECT_TRUE(record(id, 1, claim_status::ran,
                       std::string(claim_store::max_kept_body_bytes + 1, 'x')));
    const auto again = claim(id, 2);
    EXPECT_EQ(again.answer, claim_answer::ran);
    EXPECT_EQ(std::string(again.body.begin(), again.body.end()),
              R"({"response_kept": false, "response_bytes": 65537})");
}

// Guards against a member that restarts or receives a snapshot and then differs.
TEST_F(cluster_state_test, a_restored_state_applies_commands_like_the_original)
{
    base::random_source random(11);
    for (int i = 0; i < 300; ++i) {
        const std::string id = request(now_, std::to_string(random.below(20)));
        switch (random.below(5)) {
        case 0:
            claim(id, static_cast<std::uint64_t>(i));
            break;
        case 1:
            record(id, random.below(300), claim_status::freed);
            break;
        case 2:
            submit(std::to_string(i),
                   zone_intent("z2", random.chance(0.5) ? intent_kind::zone_out
                                                        : intent_kind::zone_in));
            break;
        case 3:
            open("v1", 5 + random.below(3));
            break;
        default:
            now_ += 1000;
        }
        const auto bytes = state_.snapshot();
        EXPECT_EQ(cluster_state::restore(bytes).snapshot(), bytes);
        if (i % 50 == 0) {
            restart();
        }
    }
}

TEST_F(cluster_state_test, bytes_that_are_no_command_or_snapshot_change_nothing)
{
    const auto before = state_.snapshot();
    const std::vector<std::uint8_t> junk(40, 0xAB);
    const auto result = state_.apply(state_.applied_index(), junk);
    EXPECT_TRUE(std::holds_alternative<malformed_result>(result));
    EXPECT_EQ(state_.snapshot(), before);
    EXPECT_THROW(cluster_state::restore(junk), base::findings_error);
}

} // namespace
} // namespace curranthoist::control
