#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace curranthoist::ctl {

// What the metrics of the core's leader and of fronts tell about one team. They name no
// keys.
struct team_report
{
    // By the leader's account, in thousandths; nothing if no leader was read, or the team
    // has no limit.
    struct account
    {
        std::int64_t limit_milli = 0;
        std::int64_t burst_milli = 0;
        std::int64_t credit_milli = 0;
        std::int64_t demand_milli = 0;
        std::int64_t admitted_permille = 0;
    };

    std::string team;
    std::optional<account> standing;
    // The fronts' requests by what became of them at the check of keys, limits and
    // shares, summed.
    std::map<std::string, std::int64_t> outcomes;

    // Adds what one process's metrics tell. Lines that are no metrics are left out.
    void add(std::string_view metrics);
    [[nodiscard]] bool empty() const { return !standing && outcomes.empty(); }
};

void print_team_text(std::ostream& out, const team_report& report);
nlohmann::json team_json(const team_report& report);

} // namespace curranthoist::ctl
