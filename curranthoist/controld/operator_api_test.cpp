#include "curranthoist/control/cluster_state.hpp"
#include "curranthoist/control/controller.hpp"
#include "curranthoist/controld/operator_api.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <string>

namespace curranthoist::controld {
namespace {

using nlohmann::json;

class operator_api_test : public testing::Test
{
protected:
    void lead()
    {
        const control::event_time now{base::instant(1000), base::instant(1000)};
        controller_.on_leadership_gained(now);
        const auto output = controller_.take_output();
        controller_.on_read_confirmed(*output.confirm_read, true, now);
    }
    operator_result call(const std::string& method, const std::string& path,
                         const json& body = {})
    {
        return api_.handle(method, path, body.dump(), members_, base::instant(1000));
    }
    // The response, after the command, if any, was applied.
    operator_response finish(const operator_result& result)
    {
        if (result.response) {
            return *result.response;
        }
        const auto applied = state_.apply(base::log_index(++index_), result.proposal);
        return operator_api::confirm_response(std::get<control::intent_result>(applied));
    }
    json body_of(const operator_result& result)
    {
        return json::parse(finish(result).body);
    }
    operator_result confirm(const std::string& id, const json& plan, const json& intent)
    {
        return call("POST", "/v1/confirm",
                    {{"intent_id", id},
                     {"operator", "op"},
                     {"plan_id", plan.at("plan_id")},
                     {"base_revision", plan.at("base_revision")},
                     {"intent", intent}});
    }

    control::cluster_state state_;
    control::controller controller_{state_};
    operator_api api_{state_, controller_};
    members_view members_{"c1", "c2", "10.0.0.2:8081", 0, {}, {}};
    std::uint64_t index_ = 0;
    const json zone_a_ = {{"kind", "add_zone"}, {"zone", "a"}};
    const json zone_b_ = {{"kind", "add_zone"}, {"zone", "b"}};
};

TEST_F(operator_api_test, a_follower_redirects_and_an_unconfirmed_leader_refuses)
{
    const auto redirected = *call("GET", "/v1/status").response;
    EXPECT_EQ(redirected.status, 307U);
    EXPECT_EQ(redirected.location, "http://10.0.0.2:8081/v1/status");
    members_.leader_operators_address.clear();
    EXPECT_EQ(call("GET", "/v1/status").response->status, 503U);
    controller_.on_leadership_gained({base::instant(1), base::instant(1)});
    EXPECT_EQ(call("GET", "/v1/status").response->status, 503U);
    EXPECT_EQ(call("GET", "/v1/nothing").response->status, 404U);
    EXPECT_EQ(call("GET", "/v1/plan").response->status, 405U);
}

TEST_F(operator_api_test, two_operators_who_confirm_at_once_get_one_acceptance)
{
    lead();
    const json first = body_of(call("POST", "/v1/plan", {{"intent", zone_a_}}));
    const json second = body_of(call("POST", "/v1/plan", {{"intent", zone_b_}}));
    // Both pass the early check; the log decides.
    const auto one = confirm("1", first, zone_a_);
    const auto two = confirm("2", second, zone_b_);
    EXPECT_EQ(finish(one).status, 200U);
    const auto refused = finish(two);
    EXPECT_EQ(refused.status, 409U);
    EXPECT_EQ(json::parse(refused.body).at("changed").at(0).at("intent_id"), "1");
    EXPECT_EQ(finish(confirm("3", second, zone_b_)).status, 409U) << "stale at once";
}

TEST_F(operator_api_test, a_resend_gets_the_first_outcome_and_another_content_a_conflict)
{
    lead();
    const json plan = body_of(call("POST", "/v1/plan", {{"intent", zone_a_}}));
    const auto first = finish(confirm("1", plan, zone_a_));
    const auto again = confirm("1", plan, zone_a_);
    ASSERT_TRUE(again.response) << "no second command";
    EXPECT_EQ(again.response->body, first.body);
    EXPECT_EQ(finish(confirm("1", plan, zone_b_)).status, 409U);
    const auto invalid =
        finish(confirm("2", {{"plan_id", "x"}, {"base_revision", 1}}, zone_b_));
    EXPECT_EQ(invalid.status, 409U) << "a plan id that nobody was shown";
}

TEST_F(operator_api_test, every_mistake_in_a_body_is_reported_together)
{
    lead();
    const auto response =
        *call("POST", "/v1/confirm", {{"operator", 3}, {"intent", {{"kind", "fly"}}}})
             .response;
    EXPECT_EQ(response.status, 400U);
    EXPECT_EQ(json::parse(response.body).at("findings").size(), 5U) << response.body;
    EXPECT_EQ(api_.handle("POST", "/v1/plan", "{", members_, {}).response->status, 400U);
    EXPECT_EQ(
        call("POST", "/v1/plan", {{"intent", {{"kind", "zone_out"}, {"zone", "x"}}}})
            .response->status,
        200U)
        << "what the rules refuse is part of a plan";
}

TEST_F(operator_api_test, status_and_decisions_show_what_was_accepted)
{
    lead();
    const json plan = body_of(call("POST", "/v1/plan", {{"intent", zone_a_}}));
    finish(confirm("1", plan, zone_a_));
    EXPECT_EQ(body_of(call("GET", "/v1/status")).at("operator_revision"), 1);
    const json decisions = body_of(call("GET", "/v1/decisions")).at("decisions");
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].at("author"), "op");
    EXPECT_EQ(decisions[0].at("changes").at(0), "added zone a");
    EXPECT_EQ(body_of(call("GET", "/v1/configuration")).at("zones").size(), 1U);
}

} // namespace
} // namespace curranthoist::controld
