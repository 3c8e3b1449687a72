#include "curranthoist/ctl/rollout_command.hpp"

#include "curranthoist/ctl/metrics_source.hpp"
#include "curranthoist/ctl/rollout_report.hpp"

#include <nlohmann/json.hpp>

#include <iostream>

namespace curranthoist::ctl {

exit_code show_rollout(const options& chosen)
{
    rollout_report report;
    report.service = chosen.subject;
    const exit_code result = read_metrics(
        chosen.metrics, [&report](std::string_view text) { report.add(text); });
    if (report.empty()) {
        std::cerr << "error: no process that answered judges a roll-out of the service\n";
        return result == exit_code::done ? exit_code::not_found : result;
    }
    if (chosen.json) {
        std::cout << rollout_json(report).dump() << "\n";
    }
    else {
        print_rollout_text(std::cout, report);
    }
    return result;
}

} // namespace curranthoist::ctl
