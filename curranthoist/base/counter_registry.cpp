#include "curranthoist/base/counter_registry.hpp"

namespace curranthoist::base {

counter& counter_registry::counter_named(std::string_view name, std::string_view help,
                                         std::string_view labels)
{
    return named(name, help, labels, "counter");
}

counter& counter_registry::gauge_named(std::string_view name, std::string_view help,
                                       std::string_view labels)
{
    return named(name, help, labels, "gauge");
}

latency_histogram& counter_registry::histogram_named(std::string_view name,
                                                     std::string_view help,
                                                     std::string_view labels)
{
    return family_named(name, help, "histogram")
        .histograms.try_emplace(std::string(labels))
        .first->second;
}

counter_registry::family& counter_registry::family_named(std::string_view name,
                                                         std::string_view help,
                                                         std::string_view type)
{
    const auto found = families_.find(name);
    if (found != families_.end()) {
        return found->second;
    }
    return families_
        .emplace(std::string(name), family{std::string(help), std::string(type), {}, {}})
        .first->second;
}

counter& counter_registry::named(std::string_view name, std::string_view help,
                                 std::string_view labels, std::string_view type)
{
    return family_named(name, help, type)
        .values.try_emplace(std::string(labels))
        .first->second;
}

std::string counter_registry::prometheus_text() const
{
    std::string text;
    for (const auto& [name, one] : families_) {
        text += "# HELP " + name + " " + one.help + "\n";
        text += "# TYPE " + name + " " + one.type + "\n";
        for (const auto& [labels, value] : one.values) {
            const std::string braces = labels.empty() ? "" : "{" + labels + "}";
            text += name + braces + " " + std::to_string(value.value()) + "\n";
        }
        for (const auto& [labels, histogram] : one.histograms) {
            text += histogram.prometheus_lines(name, labels);
        }
    }
    return text;
}

} // namespace curranthoist::base
