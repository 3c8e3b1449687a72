#include "curranthoist/ctl/commands.hpp"

#include "curranthoist/base/parse_json.hpp"
#include "curranthoist/ctl/intent_source.hpp"
#include "curranthoist/ctl/text_views.hpp"

#include <cstdint>
#include <iostream>

namespace curranthoist::ctl {

using nlohmann::json;

namespace {

using namespace base::literals;

constexpr long ok = 200;
// A confirmation is repeated for this long: the intent id makes that safe, and a leader
// failover takes about 1.5 s.
constexpr base::duration confirm_limit = 15_s;
constexpr base::duration plan_limit = 5_s;

exit_code code_for(long status)
{
    constexpr long conflict = 409;
    constexpr long refused = 422;
    switch (status) {
    case conflict:
        return exit_code::conflict;
    case refused:
        return exit_code::refused;
    default:
        return exit_code::usage;
    }
}

} // namespace

std::optional<json> commands::request(const std::string& method, const std::string& path,
                                      const json& body, exit_code& failed)
{
    base::duration limit;
    if (path == "/v1/confirm") {
        limit = confirm_limit;
    }
    else if (path == "/v1/plan") {
        limit = plan_limit;
    }
    const auto response =
        client_.call(method, path, body.is_null() ? std::string() : body.dump(), limit);
    if (!response) {
        std::cerr << "error: no leader answered\n" << client_.failures();
        failed = exit_code::unavailable;
        return std::nullopt;
    }
    json value = base::parse_json(response->body);
    if (response->status == ok && !value.is_discarded()) {
        return value;
    }
    failed = code_for(response->status);
    if (value.is_discarded()) {
        std::cerr << "error: HTTP status " << response->status
                  << " with a body that is not JSON\n";
        failed = exit_code::unavailable;
    }
    else {
        print_error_text(value);
    }
    return std::nullopt;
}

exit_code commands::plan()
{
    json plans = json::array();
    exit_code result = exit_code::done;
    for (const json& intent : read_intents(chosen_)) {
        const auto made = request("POST", "/v1/plan", {{"intent", intent}}, result);
        if (!made) {
            return result;
        }
        print_plan(*made);
        plans.push_back(*made);
        if (!made->value("refused", json::array()).empty()) {
            result = exit_code::refused;
        }
    }
    if (chosen_.json) {
        std::cout << (chosen_.file.empty() ? plans.at(0) : plans).dump() << "\n";
    }
    return result;
}

exit_code commands::apply()
{
    const std::vector<json> intents = read_intents(chosen_);
    const std::string id =
        chosen_.intent_id.empty() ? new_intent_id() : chosen_.intent_id;
    json results = json::array();
    exit_code result = exit_code::done;
    for (std::size_t i = 0; i < intents.size() && result == exit_code::done; ++i) {
        const std::string own =
            intents.size() == 1 ? id : id + "-" + std::to_string(i + 1);
        result = apply_one(intents[i], own, results);
    }
    if (chosen_.json) {
        const bool single = chosen_.file.empty() && !results.empty();
        std::cout << (single ? results.at(0) : results).dump() << "\n";
    }
    return result;
}

exit_code commands::apply_one(const json& intent, const std::string& id, json& results)
{
    exit_code failed = exit_code::done;
    const auto plan = request("POST", "/v1/plan", {{"intent", intent}}, failed);
    if (!plan) {
        return failed;
    }
    print_plan(*plan);
    // A resend of an accepted intent would be refused as a plan; the control process
    // answers it with the first outcome.
    const bool is_resend = !chosen_.intent_id.empty();
    if (!plan->value("refused", json::array()).empty() && !is_resend) {
        print_error_text({{"error", "the intent is refused"},
                          {"findings", plan->value("refused", json::array())}});
        return exit_code::refused;
    }
    if (!is_confirmed()) {
        return exit_code::declined;
    }
    std::cerr << "intent id " << id << "\n";
    const json body = {{"intent_id", id},
                       {"operator", chosen_.operator_name},
                       {"plan_id", plan->value("plan_id", "")},
                       {"base_revision", plan->value("base_revision", std::uint64_t{0})},
                       {"intent", intent}};
    const auto outcome = request("POST", "/v1/confirm", body, failed);
    if (!outcome) {
        return failed;
    }
    results.push_back(*outcome);
    if (!chosen_.json) {
        std::cout << "accepted as revision "
                  << outcome->value("revision", std::uint64_t{0}) << "\n";
    }
    return exit_code::done;
}

bool commands::is_confirmed()
{
    if (chosen_.yes) {
        return true;
    }
    std::cerr << "confirm this plan? [y/N] " << std::flush;
    std::string line;
    std::getline(std::cin, line);
    return line == "y" || line == "yes";
}

void commands::print_plan(const json& plan) const
{
    if (!chosen_.json) {
        print_plan_text(plan);
    }
}

exit_code commands::show(const std::string& path, void (*print)(const json& value))
{
    exit_code failed = exit_code::done;
    const auto value = request("GET", path, {}, failed);
    if (!value) {
        return failed;
    }
    if (chosen_.json) {
        std::cout << value->dump() << "\n";
    }
    else {
        print(*value);
    }
    return exit_code::done;
}

exit_code commands::status()
{
    return show("/v1/status", print_status_text);
}

exit_code commands::configuration()
{
    return show("/v1/configuration", print_configuration_text);
}

exit_code commands::decisions()
{
    return show("/v1/decisions", print_decisions_text);
}

exit_code commands::explain()
{
    exit_code failed = exit_code::done;
    const auto value = request("GET", "/v1/decisions", {}, failed);
    if (!value) {
        return failed;
    }
    for (const json& one : value->value("decisions", json::array())) {
        const bool found =
            one.value("intent_id", "") == chosen_.subject ||
            (one.contains("revision") && one.at("revision").dump() == chosen_.subject);
        if (found) {
            if (chosen_.json) {
                std::cout << one.dump() << "\n";
            }
            else {
                print_decision_text(one);
            }
            return exit_code::done;
        }
    }
    std::cerr << "error: no kept decision has revision or intent id " << chosen_.subject
              << "\n";
    return exit_code::not_found;
}

} // namespace curranthoist::ctl
