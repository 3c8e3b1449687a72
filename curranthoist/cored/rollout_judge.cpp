#include "curranthoist/cored/rollout_judge.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace curranthoist::cored {

namespace {

using deployment::rollout_phase;

constexpr std::array<double, 6> share_steps{0.02, 0.05, 0.1, 0.25, 0.5, 1.0};
// The part of the remaining time that the steps take together.
constexpr double steps_part = 0.7;
// Without enough answers for the test, the verdict follows so long before the deadline
// that it is committed by then, and not before this part of the time.
constexpr base::duration commit_limit{1500};
constexpr double min_verdict_part = 0.85;
// What a completion waits for may last until this time before the deadline.
constexpr base::duration last_commit_limit{600};
// A leader that takes over shortly before the deadline needs this time to hear the
// fronts.
constexpr base::duration min_remaining{2000};
// The test's alternative is this much above the old version's share of bad answers, or
// twice that share if it is more: a difference of 0.1 beside a bad share of 0.2 would
// need more answers than a small service gives in the time of a roll-out.
constexpr double bad_share_difference = 0.1;
constexpr double max_too_bad = 0.95;
// Probabilities that the test rolls a good version back and that it accepts a bad one.
constexpr double good_rolled_back = 0.001;
constexpr double bad_accepted = 0.01;
// A version of which this many more answers are bad than of the old one is rolled back
// well before its fiftieth bad answer.
constexpr double max_surplus_bad = 25.0;
// The surplus must be this many standard deviations above zero: of thousands of answers
// of which a fifth is bad in both versions, 25 more may be bad by chance.
constexpr double surplus_deviations = 4.0;
// Bounds of the old version's share of bad answers: the test needs both hypotheses within
// (0, 1).
constexpr double min_usual_bad = 0.01;
constexpr double max_usual_bad = 0.8;
// Answers of the old version weigh half after this many later ones.
constexpr double old_answers_half_life = 200.0;
// The part of the exposure's slack that an unproven version may use; the rest is for
// answers that the leader doesn't know of yet.
constexpr double slack_part = 0.5;
// The steps give the version about this part of the requests that arrive until the
// deadline.
constexpr double answered_part = 0.35;
// The share of an unproven version of a service with so few requests that the steps give
// too few answers for the test. The exposure's slack bounds what it gets.
constexpr double slow_service_share = 0.5;
// The rate of requests is known after this time.
constexpr base::duration min_rate_time{800};

base::duration part_of(base::duration whole, double part)
{
    return base::duration(
        static_cast<std::int64_t>(static_cast<double>(whole.count()) * part));
}

// Half of the evidence that rolls a version back. A single bad answer of a good version
// stays below; at small shares it would otherwise hold up the roll-out for seconds.
double suspect_bound()
{
    return rollout_judge::roll_back_bound() / 2;
}

// Answers without a bad one that accept a version, if the old one's are rarely bad.
double answers_to_accept()
{
    return rollout_judge::accept_bound() /
           std::log((1 - min_usual_bad - bad_share_difference) / (1 - min_usual_bad));
}

} // namespace

double rollout_judge::roll_back_bound()
{
    return std::log((1 - bad_accepted) / good_rolled_back);
}

double rollout_judge::accept_bound()
{
    return std::log(bad_accepted / (1 - good_rolled_back));
}

std::span<const double> rollout_judge::plan()
{
    return share_steps;
}

rollout_judge::rollout_judge(options judge_options, base::duration remaining,
                             base::instant now)
    : options_(judge_options)
    , remaining_(std::max(remaining, min_remaining))
    , started_(now)
    , step_began_(now)
{}

double rollout_judge::usual_bad_share() const
{
    if (old_.answers == 0) {
        return min_usual_bad;
    }
    const double overall =
        static_cast<double>(old_.bad) / static_cast<double>(old_.answers);
    // Load that makes the old version bad for some seconds is no fault of the new one.
    const double recent = recent_old_bad_ / recent_old_answers_;
    return std::clamp(std::max(overall, recent), min_usual_bad, max_usual_bad);
}

void rollout_judge::add(counts old_version, counts ordered_version)
{
    const auto old_answers = static_cast<double>(old_version.answers);
    const double decay = std::exp2(-old_answers / old_answers_half_life);
    recent_old_answers_ = recent_old_answers_ * decay + old_answers;
    recent_old_bad_ = recent_old_bad_ * decay + static_cast<double>(old_version.bad);
    old_.answers += old_version.answers;
    old_.bad += old_version.bad;

    const std::uint64_t bad = std::min(ordered_version.bad, ordered_version.answers);
    ordered_.answers += ordered_version.answers;
    ordered_.bad += bad;
    const double usual = usual_bad_share();
    const double too_bad =
        std::min(usual + std::max(bad_share_difference, usual), max_too_bad);
    const auto bad_count = static_cast<double>(bad);
    const auto good_count = static_cast<double>(ordered_version.answers - bad);
    // A version may turn bad later, so good answers count only up to the bound of the
    // test.
    evidence_ =
        std::max(accept_bound(), evidence_ + bad_count * std::log(too_bad / usual) +
                                     good_count * std::log((1 - too_bad) / (1 - usual)));
    surplus_bad_ += bad_count - usual * (bad_count + good_count);
    surplus_variance_ += usual * (1 - usual) * (bad_count + good_count);
    accepted_ = accepted_ || evidence_ <= accept_bound();
}

bool rollout_judge::is_suspect() const
{
    return evidence_ > suspect_bound();
}

bool rollout_judge::is_slow_service() const
{
    if (elapsed_ < min_rate_time) {
        return false;
    }
    const double rate =
        static_cast<double>(old_.answers + ordered_.answers) / elapsed_.seconds();
    return rate * remaining_.seconds() * answered_part < answers_to_accept();
}

bool rollout_judge::is_beyond_exposure() const
{
    const auto all = static_cast<double>(old_.answers + ordered_.answers);
    return static_cast<double>(ordered_.answers) >
           options_.exposure_share * all + options_.exposure_slack * slack_part;
}

void rollout_judge::update(base::instant now)
{
    if (verdict_ == rollout_phase::rolled_back) {
        return;
    }
    elapsed_ = now - started_;
    const double surplus_bound =
        std::max(max_surplus_bad, surplus_deviations * std::sqrt(surplus_variance_));
    if (evidence_ >= roll_back_bound() || surplus_bad_ >= surplus_bound) {
        verdict_ = rollout_phase::rolled_back;
        return;
    }
    if (verdict_ == rollout_phase::completed) {
        return;
    }
    const base::duration step_time =
        part_of(remaining_, steps_part / static_cast<double>(share_steps.size()));
    const bool is_last = step_ + 1 == share_steps.size();
    if (now - step_began_ >= step_time) {
        if (is_last && accepted_ && evidence_ <= 0) {
            verdict_ = rollout_phase::completed;
            return;
        }
        // Shares that the exposure allows in any case need no evidence.
        if (!is_last &&
            (!is_suspect() || share_steps[step_ + 1] <= options_.exposure_share)) {
            ++step_;
            const bool was_held = now - step_began_ >= step_time * 2;
            step_began_ = was_held ? now : step_began_ + step_time;
        }
    }
    if (elapsed_ >=
        std::max(part_of(remaining_, min_verdict_part), remaining_ - commit_limit)) {
        // With too few answers for the test the likelier case decides, since either error
        // costs the operator as much. Old targets stop when a roll-out completes, so a
        // version that has answered nothing must not replace them.
        const bool is_tested =
            static_cast<double>(ordered_.answers) >= answers_to_accept();
        const bool is_good = is_tested ? !is_suspect() : evidence_ <= 0;
        verdict_ = is_good && ordered_.answers > 0 ? rollout_phase::completed
                                                   : rollout_phase::rolled_back;
    }
}

bool rollout_judge::must_end() const
{
    return elapsed_ >= remaining_ - last_commit_limit;
}

double rollout_judge::share() const
{
    switch (verdict_) {
    case rollout_phase::completed:
        return 1.0;
    case rollout_phase::rolled_back:
        return 0.0;
    case rollout_phase::running:
        break;
    }
    double share = share_steps[step_];
    if (!accepted_ && !is_suspect() && is_slow_service()) {
        share = std::max(share, slow_service_share);
    }
    return !accepted_ && is_beyond_exposure() ? std::min(share, options_.exposure_share)
                                              : share;
}

} // namespace curranthoist::cored
