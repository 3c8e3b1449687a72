#include "curranthoist/cored/suspect_targets.hpp"

#include <cmath>

namespace curranthoist::cored {

namespace {

constexpr double half_life_ms = 2000.0;
// Several answers must agree: that many bad ones, and that part of all. A target that
// pauses for 150 ms in 3.6 s is bad in one answer of twenty. Orders come once a second.
constexpr double min_bad = 1.5;
constexpr double min_bad_part = 0.5;
// More evidence than this counts no further, or a suspect without requests would be tried
// again too late: after two half-lives.
constexpr double max_answers = 6.0;
// Evidence below this is forgotten.
constexpr double min_answers = 0.1;

} // namespace

void suspect_targets::evidence::age(base::instant now)
{
    const double kept =
        std::pow(0.5, static_cast<double>((now - at).count()) / half_life_ms);
    answers *= kept;
    bad *= kept;
    at = now;
}

void suspect_targets::add(std::span<const deployment::target_sample> samples,
                          base::instant now)
{
    for (const deployment::target_sample& one : samples) {
        evidence& of = evidence_[one.id];
        of.age(now);
        of.answers += one.answers;
        of.bad += one.bad;
        if (of.answers > max_answers) {
            of.bad *= max_answers / of.answers;
            of.answers = max_answers;
        }
    }
}

std::vector<base::target_id> suspect_targets::at(base::instant now)
{
    std::vector<base::target_id> result;
    for (auto each = evidence_.begin(); each != evidence_.end();) {
        evidence& of = each->second;
        of.age(now);
        if (of.answers < min_answers) {
            each = evidence_.erase(each);
            continue;
        }
        if (of.bad >= min_bad && of.bad >= min_bad_part * of.answers) {
            result.push_back(each->first);
        }
        ++each;
    }
    return result;
}

} // namespace curranthoist::cored
