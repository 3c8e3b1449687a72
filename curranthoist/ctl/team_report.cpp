#include "curranthoist/ctl/team_report.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
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

// The value of a label; nothing if it is not there.
std::optional<std::string_view> label(std::string_view labels, std::string_view name)
{
    const std::string begin = std::string(name) + "=\"";
    const std::size_t at = labels.find(begin);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    labels.remove_prefix(at + begin.size());
    const std::size_t end = labels.find('"');
    return end == std::string_view::npos ? std::nullopt
                                         : std::optional(labels.substr(0, end));
}

// One line: name{labels} value.
struct metric_line
{
    std::string_view name;
    std::string_view labels;
    std::int64_t value = 0;
};

std::optional<metric_line> parse_line(std::string_view line)
{
    const std::size_t open = line.find('{');
    const std::size_t close = line.rfind("} ");
    if (open == std::string_view::npos || close == std::string_view::npos ||
        close < open) {
        return std::nullopt;
    }
    const std::string_view number = line.substr(close + 2);
    metric_line result{line.substr(0, open), line.substr(open + 1, close - open - 1), 0};
    const auto parsed =
        std::from_chars(number.data(), number.data() + number.size(), result.value);
    return parsed.ec == std::errc() ? std::optional(result) : std::nullopt;
}

} // namespace

void team_report::add(std::string_view metrics)
{
    while (!metrics.empty()) {
        const std::string_view line = metrics.substr(0, metrics.find('\n'));
        metrics.remove_prefix(std::min(line.size() + 1, metrics.size()));
        const auto one = parse_line(line);
        if (!one || label(one->labels, "team") != team) {
            continue;
        }
        if (one->name == outcomes_name) {
            if (const auto outcome = label(one->labels, "outcome")) {
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
