#include "curranthoist/ctl/rollout_report.hpp"

#include "curranthoist/ctl/metric_line.hpp"

#include <nlohmann/json.hpp>

#include <charconv>
#include <iomanip>
#include <ostream>

namespace curranthoist::ctl {

namespace {

constexpr std::string_view prefix = "curranthoist_rollout_";
constexpr double thousandths = 1000.0;
constexpr double percent = 100.0;

void print_version(std::ostream& out, const rollout_report::version_counts& version)
{
    out << "  " << (version.name.empty() ? "(none)" : version.name) << ": "
        << version.answers << " answers, " << version.bad << " bad\n";
}

nlohmann::json version_json(const rollout_report::version_counts& version)
{
    return {
        {"version", version.name}, {"answers", version.answers}, {"bad", version.bad}};
}

} // namespace

void rollout_report::add(std::string_view metrics)
{
    while (!metrics.empty()) {
        const auto one = metric_line::parse(metric_line::take_line(metrics));
        if (!one || !one->name.starts_with(prefix) || one->label("service") != service) {
            continue;
        }
        const std::string name(one->name.substr(prefix.size()));
        if (const auto role = one->label("role")) {
            version_counts& version = role == "ordered" ? ordered : old;
            version.name = one->label("version").value_or("");
            (name == "answers" ? version.answers : version.bad) = one->value;
            continue;
        }
        if (const auto step = one->label("step")) {
            std::int64_t number = 0;
            std::from_chars(step->data(), step->data() + step->size(), number);
            plan[number] = one->value;
            continue;
        }
        figures[name] = one->value;
    }
}

std::int64_t rollout_report::figure(const std::string& name) const
{
    const auto found = figures.find(name);
    return found == figures.end() ? 0 : found->second;
}

void print_rollout_text(std::ostream& out, const rollout_report& report)
{
    const auto in_units = [&report](const char* name) {
        return static_cast<double>(report.figure(name)) / thousandths;
    };
    out << "service " << report.service << ": "
        << (report.old.name.empty() ? "(none)" : report.old.name) << " -> "
        << report.ordered.name << "\n"
        << std::fixed << std::setprecision(0) << "  plan:";
    for (const auto& [step, share] : report.plan) {
        out << " " << static_cast<double>(share) / thousandths * percent << "%";
    }
    out << " of the requests\n"
        << std::setprecision(1) << "  step " << report.figure("step") << " of "
        << report.plan.size() << ": " << in_units("share_permille") * percent << "%; "
        << in_units("remaining_ms") << " s left\n";
    print_version(out, report.ordered);
    print_version(out, report.old);
    out << std::setprecision(2) << "  evidence " << in_units("evidence_milli")
        << ": rolled back from " << in_units("roll_back_milli") << ", accepted from "
        << in_units("accept_milli") << " down\n"
        << "  " << report.figure("open_at_old") << " requests wait for the old version\n";
}

nlohmann::json rollout_json(const rollout_report& report)
{
    nlohmann::json shares = nlohmann::json::array();
    for (const auto& [step, share] : report.plan) {
        shares.push_back(share);
    }
    return {{"service", report.service},
            {"ordered", version_json(report.ordered)},
            {"old", version_json(report.old)},
            {"plan_permille", shares},
            {"figures", report.figures}};
}

} // namespace curranthoist::ctl
