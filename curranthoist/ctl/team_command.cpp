#include "curranthoist/ctl/team_command.hpp"

#include "curranthoist/ctl/control_client.hpp"
#include "curranthoist/ctl/team_report.hpp"

#include <nlohmann/json.hpp>

#include <iostream>

namespace curranthoist::ctl {

exit_code show_team(const options& chosen)
{
    constexpr long ok = 200;
    team_report report;
    report.team = chosen.subject;
    exit_code result = exit_code::done;
    for (const std::string& address : chosen.metrics) {
        control_client client({address});
        const auto response = client.call("GET", "/metrics", "", base::duration());
        if (response && response->status == ok) {
            report.add(response->body);
            continue;
        }
        std::cerr << "error: " << address << ": "
                  << (response ? "status " + std::to_string(response->status) + "\n"
                               : client.failures());
        result = exit_code::unavailable;
    }
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
