#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/control/apply_result.hpp"
#include "curranthoist/control/plan.hpp"
#include "curranthoist/controld/members_view.hpp"
#include "curranthoist/controld/operator_result.hpp"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace curranthoist::control {
class cluster_state;
class controller;
} // namespace curranthoist::control

namespace curranthoist::controld {

// The operators' HTTP interface without the HTTP server: functions of the request and of
// the state. Only a leader that a quorum has confirmed answers; others redirect to it.
class operator_api
{
public:
    // The references must outlive the object.
    operator_api(const control::cluster_state& state, const control::controller& leader)
        : state_(state)
        , leader_(leader)
    {}

    // Answers one request, or turns it into a command.
    [[nodiscard]] operator_result handle(std::string_view method, std::string_view path,
                                         std::string_view body,
                                         const members_view& members,
                                         base::instant wall) const;
    // The answer to a confirmed intent whose command was applied.
    [[nodiscard]] static operator_response
    confirm_response(const control::intent_result& result);
    // The answer if it is not known whether the command will be applied: 503. A resend
    // with the same intent id is safe.
    [[nodiscard]] static operator_response confirm_unknown();

private:
    // The plan, also checked against the members of the log.
    [[nodiscard]] control::plan plan_for(const control::intent& wanted,
                                         const members_view& members) const;
    [[nodiscard]] operator_response plan(std::string_view body,
                                         const members_view& members) const;
    [[nodiscard]] operator_result
    confirm(std::string_view body, const members_view& members, base::instant wall) const;
    // The answer if the state decides without a new command; nothing otherwise.
    [[nodiscard]] std::optional<operator_response>
    early_answer(const control::encoded::operator_intent_message& command,
                 const std::string& plan_id, const members_view& members) const;
    [[nodiscard]] operator_response status(const members_view& members) const;
    [[nodiscard]] nlohmann::json vm_status() const;
    [[nodiscard]] operator_response configuration() const;
    [[nodiscard]] operator_response decisions() const;

    const control::cluster_state& state_;
    const control::controller& leader_;
};

} // namespace curranthoist::controld
