#include "curranthoist/cored/rollout_metrics.hpp"

#include "curranthoist/base/counter_registry.hpp"

#include <cmath>

namespace curranthoist::cored {

namespace {

// Versions are of visible ASCII, which has the characters that end a label.
std::string label_value(const std::string& text)
{
    std::string result;
    for (const char one : text) {
        if (one == '"' || one == '\\') {
            result += '\\';
        }
        result += one;
    }
    return result;
}

} // namespace

std::string rollout_metrics(std::span<const rollout_standing> standings)
{
    constexpr double thousandths = 1000.0;
    // A registry of its own, so that a roll-out that has ended leaves no metrics.
    base::counter_registry metrics;
    for (const rollout_standing& one : standings) {
        const std::string labels = "service=\"" + label_value(one.service) + "\"";
        const auto version_labels = [&](const char* role, const std::string& version) {
            return labels + ",role=\"" + role + "\",version=\"" + label_value(version) +
                   "\"";
        };
        const auto set = [&](const char* name, const char* help, std::int64_t value) {
            metrics.gauge_named(name, help, labels).set(value);
        };
        const auto set_answers = [&](const std::string& of_version,
                                     const rollout_judge::counts& counts) {
            metrics
                .gauge_named("curranthoist_rollout_answers",
                             "Answers of a version since the leader judges it",
                             of_version)
                .set(static_cast<std::int64_t>(counts.answers));
            metrics
                .gauge_named("curranthoist_rollout_bad_answers",
                             "Those of them that failed or came late", of_version)
                .set(static_cast<std::int64_t>(counts.bad));
        };
        set_answers(version_labels("ordered", one.target_version), one.ordered);
        set_answers(version_labels("old", one.base_version), one.old);
        set("curranthoist_rollout_share_permille",
            "The part of the requests that the ordered version may get",
            std::llround(one.share * thousandths));
        set("curranthoist_rollout_step", "Step of the share, from 1",
            static_cast<std::int64_t>(one.step));
        for (std::size_t i = 0; i < one.plan.size(); ++i) {
            metrics
                .gauge_named("curranthoist_rollout_plan_permille",
                             "The share of each step",
                             labels + ",step=\"" + std::to_string(i + 1) + "\"")
                .set(std::llround(one.plan[i] * thousandths));
        }
        set("curranthoist_rollout_evidence_milli",
            "Evidence that the ordered version is bad, in 1/1000",
            std::llround(one.evidence * thousandths));
        set("curranthoist_rollout_roll_back_milli",
            "Evidence from which it is rolled back, in 1/1000",
            std::llround(one.roll_back_bound * thousandths));
        set("curranthoist_rollout_accept_milli",
            "Evidence down from which it is accepted, in 1/1000",
            std::llround(one.accept_bound * thousandths));
        set("curranthoist_rollout_remaining_ms", "Until the deadline",
            one.remaining.count());
        set("curranthoist_rollout_open_at_old",
            "Requests that wait for an answer of the old version",
            static_cast<std::int64_t>(one.open_at_old));
    }
    return metrics.prometheus_text();
}

} // namespace curranthoist::cored
