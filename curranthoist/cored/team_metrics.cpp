#include "curranthoist/cored/team_metrics.hpp"

#include "curranthoist/base/counter_registry.hpp"

#include <cmath>

namespace curranthoist::cored {

std::string team_metrics(std::span<const team_standing> standings)
{
    constexpr double thousandths = 1000.0;
    // A registry of its own, so that a team that has left the configuration leaves no
    // metrics.
    base::counter_registry metrics;
    for (const team_standing& one : standings) {
        const std::string labels = "team=\"" + one.team + "\"";
        const auto set = [&](const char* name, const char* help, double value) {
            metrics.gauge_named(name, help, labels)
                .set(std::llround(value * thousandths));
        };
        set("curranthoist_team_limit_milli", "Requests a second by the limit, in 1/1000",
            one.rate);
        set("curranthoist_team_burst_milli", "Requests at once by the limit, in 1/1000",
            one.burst);
        set("curranthoist_team_credit_milli",
            "Requests that the team may send at once now, in 1/1000", one.credit);
        set("curranthoist_team_demand_milli",
            "Requests a second that the team sends, in 1/1000", one.demand);
        set("curranthoist_team_admitted_permille",
            "The part of the team's requests that fits", one.admitted_part);
    }
    return metrics.prometheus_text();
}

} // namespace curranthoist::cored
