#pragma once

#include "curranthoist/base/counter.hpp"
#include "curranthoist/base/latency_histogram.hpp"

#include <map>
#include <string>
#include <string_view>

namespace curranthoist::base {

// A process's counters and gauges, printed in the Prometheus text format. References that
// it returns stay valid for its life:
//
//     base::counter& sent = registry.counter_named("curranthoist_parts_total",
//                                                  "Shard parts sent", "result=\"ok\"");
//     sent.add();
class counter_registry
{
public:
    // The counter of that name and label set (`key="value",...` or empty); created at 0.
    // The help text of the first call with a name is kept.
    counter& counter_named(std::string_view name, std::string_view help,
                           std::string_view labels = {});
    // The same for a value that can fall.
    counter& gauge_named(std::string_view name, std::string_view help,
                         std::string_view labels = {});
    // The same for durations in milliseconds.
    latency_histogram& histogram_named(std::string_view name, std::string_view help,
                                       std::string_view labels = {});
    // Every metric in the Prometheus text format, sorted by name and labels.
    [[nodiscard]] std::string prometheus_text() const;

private:
    struct family
    {
        std::string help;
        std::string type;
        std::map<std::string, counter, std::less<>> values;
        std::map<std::string, latency_histogram, std::less<>> histograms;
    };

    family& family_named(std::string_view name, std::string_view help,
                         std::string_view type);
    counter& named(std::string_view name, std::string_view help, std::string_view labels,
                   std::string_view type);

    std::map<std::string, family, std::less<>> families_;
};

} // namespace curranthoist::base
