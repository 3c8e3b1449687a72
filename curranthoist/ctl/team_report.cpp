#include "curranthoist/ctl/team_report.hpp"

#include "curranthoist/ctl/metric_line.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <iomanip>
#include <ostream>
#include <utility>

namespace curranthoist::ctl {

namespace {

constexpr std::string_view outcomes_name = "curranthoist_team_requests_total";
constexpr double thousandths = 1000.0;

constexpr std::array<std::pair<std::string_view, std::int64_t team_report::account::*>, 5>
    account_names{{
        {"curranthoist_team_limit_milli", &team_report::account::limit_milli},
        {"curranthoist_team_burst_milli", &team_report::account::burst_milli},
        {"curranthoist_team_credit_milli", &team_report::account::credit_milli},
        {"curranthoist_team_demand_milli", &team_report::account::demand_milli},
        {"curranthoist_team_admitted_permille", &team_report::account::admitted_permille},
    }};

double requests(std::int64_t milli)
{
    return static_cast<double>(milli) / thousandths;
}

} // namespace

void team_report::add(std::string_view metrics)
{
    while (!metrics.empty()) {
        const auto one = metric_line::parse(metric_line::take_line(metrics));
        if (!one || one->label("team") != team) {
            continue;
        }
        if (one->name == outcomes_name) {
            if (const auto outcome = one->label("outcome")) {
                outcomes[std::string(*outcome)] += one->value;
            }
            continue;
        }
        const auto found =
            std::find_if(account_names.begin(), account_names.end(),
                         [&](const auto& known) { return known.first == one->name; });
        if (found != account_names.end()) {
            if (!standing) {
                standing = account();
            }
            (*standing).*(found->second) = one->value;
        }
    }
}

void print_team_text(std::ostream& out, const team_report& report)
{
    out << "team " << report.team << "\n" << std::fixed << std::setprecision(1);
    if (report.standing) {
        const team_report::account& one = *report.standing;
        out << "  limit " << requests(one.limit_milli) << " a second, burst "
            << requests(one.burst_milli) << "\n  credit " << requests(one.credit_milli)
            << "\n  sends " << requests(one.demand_milli) << " a second, of which "
            << one.admitted_permille << " in 1000 fit\n";
    }
    else {
        out << "  no limit, or no leader of the core was read\n";
    }
    for (const auto& [outcome, count] : report.outcomes) {
        out << "  " << outcome << " " << count << "\n";
    }
}

nlohmann::json team_json(const team_report& report)
{
    nlohmann::json result{{"team", report.team}, {"outcomes", report.outcomes}};
    if (report.standing) {
        const team_report::account& one = *report.standing;
        result["account"] = {{"rate_per_s", requests(one.limit_milli)},
                             {"burst", requests(one.burst_milli)},
                             {"credit", requests(one.credit_milli)},
                             {"sends_per_s", requests(one.demand_milli)},
                             {"admitted_permille", one.admitted_permille}};
    }
    return result;
}

} // namespace curranthoist::ctl
