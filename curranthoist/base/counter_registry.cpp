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

counter& counter_registry::named(std::string_view name, std::string_view help,
                                 std::string_view labels, std::string_view type)
{
    auto found = families_.find(name);
    if (found == families_.end()) {
        family created{std::string(help), std::string(type), {}};
        found = families_.emplace(std::string(name), std::move(created)).first;
    }
    return found->second.values.try_emplace(std::string(labels)).first->second;
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
    }
    return text;
}

} // namespace curranthoist::base
