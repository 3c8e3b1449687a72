#include "curranthoist/ctl/team_command.hpp"

#include "curranthoist/ctl/metrics_source.hpp"
#include "curranthoist/ctl/team_report.hpp"

#include <nlohmann/json.hpp>

#include <iostream>

namespace curranthoist::ctl {

exit_code show_team(const options& chosen)
{
    team_report report;
    report.team = chosen.subject;
    const exit_code result = read_metrics(
        chosen.metrics, [&report](std::string_view text) { report.add(text); });
    if (report.empty()) {
        std::cerr << "error: no process that answered knows the team\n";
        return result == exit_code::done ? exit_code::not_found : result;
    }
    if (chosen.json) {
        std::cout << team_json(report).dump() << "\n";
    }
    else {
        print_team_text(std::cout, report);
    }
    return result;
}

} // namespace curranthoist::ctl
