#include "curranthoist/ctl/text_views.hpp"

#include <iostream>
#include <string>

namespace curranthoist::ctl {

using nlohmann::json;

namespace {

std::string text(const json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string field(const json& object, const char* name)
{
    return object.contains(name) ? text(object.at(name)) : std::string("-");
}

json list(const json& object, const char* name)
{
    return object.contains(name) && object.at(name).is_array() ? object.at(name)
                                                               : json::array();
}

void print_findings(std::ostream& out, const json& findings)
{
    for (const json& one : findings) {
        out << "  " << field(one, "place") << ": " << field(one, "text") << "\n";
    }
}

void print_decision(std::ostream& out, const json& decision)
{
    out << "revision " << field(decision, "revision") << " by "
        << field(decision, "author") << " at " << field(decision, "time_ms")
        << " ms, intent " << field(decision, "intent_id") << "\n";
    for (const json& change : list(decision, "changes")) {
        out << "  " << text(change) << "\n";
    }
}

} // namespace

void print_plan_text(const json& plan)
{
    std::cout << "plan " << field(plan, "plan_id") << " on operator revision "
              << field(plan, "base_revision") << "\n";
    int number = 0;
    for (const json& step : list(plan, "steps")) {
        std::cout << "  " << ++number << ". " << text(step) << "\n";
    }
    for (const json& one : list(plan, "capacity")) {
        std::cout << "  service " << field(one, "service") << ": slots "
                  << field(one, "slots_before") << " -> " << field(one, "slots_left")
                  << ", shards covered " << field(one, "shards_covered_before") << " -> "
                  << field(one, "shards_covered_left") << " of " << field(one, "shards")
                  << ", with a single target " << field(one, "shards_with_single_target")
                  << "\n";
    }
    for (const json& warning : list(plan, "warnings")) {
        std::cout << "  warning: " << text(warning) << "\n";
    }
    if (!list(plan, "refused").empty()) {
        std::cout << "refused:\n";
        print_findings(std::cout, list(plan, "refused"));
    }
}

void print_status_text(const json& status)
{
    std::cout << "leader " << field(status, "leader") << ", revision "
              << field(status, "revision") << " (operators' "
              << field(status, "operator_revision") << "), "
              << field(status, "targets_assigned") << " of " << field(status, "targets")
              << " targets assigned\n";
    for (const json& one : list(status, "members")) {
        std::cout << "  member " << field(one, "member") << " " << field(one, "role")
                  << ", behind by " << field(one, "lag_entries") << " entries\n";
    }
    for (const json& one : list(status, "vms")) {
        std::cout << "  VM " << field(one, "vm") << " in " << field(one, "zone")
                  << ", connected " << field(one, "connected") << ", targets "
                  << field(one, "targets") << ", revision "
                  << field(one, "applied_revision") << ", behind by "
                  << field(one, "lag_revisions") << "\n";
    }
}

void print_configuration_text(const json& configuration)
{
    std::cout << configuration.dump(2) << "\n";
}

void print_decision_text(const json& decision)
{
    print_decision(std::cout, decision);
}

void print_decisions_text(const json& decisions)
{
    for (const json& one : list(decisions, "decisions")) {
        print_decision(std::cout, one);
    }
}

void print_error_text(const json& error)
{
    std::cerr << "error: " << field(error, "error") << "\n";
    print_findings(std::cerr, list(error, "findings"));
    for (const json& one : list(error, "changed")) {
        print_decision(std::cerr, one);
    }
}

} // namespace curranthoist::ctl
