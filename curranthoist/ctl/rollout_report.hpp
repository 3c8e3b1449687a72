#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <string_view>

namespace curranthoist::ctl {

// What the metrics of the core's leader tell about the running roll-out of one service.
struct rollout_report
{
    struct version_counts
    {
        std::string name;
        std::int64_t answers = 0;
        std::int64_t bad = 0;
    };

    std::string service;
    version_counts ordered;
    version_counts old;
    // The share of each step, in thousandths, by its number.
    std::map<std::int64_t, std::int64_t> plan;
    // The other figures, by the metric's name without "curranthoist_rollout_".
    std::map<std::string, std::int64_t> figures;

    // Adds what one process's metrics tell. Lines that are no metrics are left out.
    void add(std::string_view metrics);
    [[nodiscard]] bool empty() const { return figures.empty(); }
    // Returns 0 if the metrics did not name it.
    [[nodiscard]] std::int64_t figure(const std::string& name) const;
};

void print_rollout_text(std::ostream& out, const rollout_report& report);
nlohmann::json rollout_json(const rollout_report& report);

} // namespace curranthoist::ctl
