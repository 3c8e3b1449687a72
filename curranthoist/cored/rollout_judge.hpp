#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/deployment/rollout_phase.hpp"

#include <cstddef>
#include <cstdint>
#include <span>

namespace curranthoist::cored {

// Judges the version of one running roll-out by its answers, and sets the share of the
// requests that it may get meanwhile. A sequential probability ratio test compares the
// share of bad answers with that of the old version.
class rollout_judge
{
public:
    struct options
    {
        // A bad version may get this part of the service's requests, and this number of
        // requests on top.
        double exposure_share = 0.1;
        double exposure_slack = 50.0;
    };
    struct counts
    {
        std::uint64_t answers = 0;
        std::uint64_t bad = 0;
    };

    // `remaining` is the time until the deadline of the order.
    rollout_judge(options judge_options, base::duration remaining, base::instant now);

    // Records new answers of the old version and of the ordered one.
    void add(counts old_version, counts ordered_version);
    // Takes over what follows from the answers and the time. Call it often.
    void update(base::instant now);
    // Returns `running` until the judgement is made. A completed version that turns bad
    // is rolled back after all.
    [[nodiscard]] deployment::rollout_phase verdict() const { return verdict_; }
    // Returns true if a judgement must be committed now to be so by the deadline.
    [[nodiscard]] bool must_end() const;
    // Returns the part of the requests that the ordered version may get, from 0 to 1.
    [[nodiscard]] double share() const;
    // The logarithm of the likelihood that the version is bad over that of a good one.
    [[nodiscard]] double evidence() const { return evidence_; }
    // Bounds of the evidence: at or above the first one the version is rolled back, at or
    // below the second one it is accepted.
    [[nodiscard]] static double roll_back_bound();
    [[nodiscard]] static double accept_bound();
    // The step of the share, from 1.
    [[nodiscard]] std::size_t step() const { return step_ + 1; }
    // The shares of all steps.
    [[nodiscard]] static std::span<const double> plan();
    // Until the deadline, at the last update.
    [[nodiscard]] base::duration rest() const { return remaining_ - elapsed_; }
    [[nodiscard]] counts ordered_total() const { return ordered_; }
    [[nodiscard]] counts old_total() const { return old_; }

private:
    [[nodiscard]] double usual_bad_share() const;
    [[nodiscard]] bool is_suspect() const;
    [[nodiscard]] bool is_slow_service() const;
    [[nodiscard]] bool is_beyond_exposure() const;

    options options_;
    base::duration remaining_;
    base::instant started_;
    base::duration elapsed_;
    base::instant step_began_;
    std::size_t step_ = 0;
    counts old_;
    counts ordered_;
    // Of the old version; older answers weigh less.
    double recent_old_answers_ = 0;
    double recent_old_bad_ = 0;
    double evidence_ = 0;
    // Bad answers beyond those that the old version would have given.
    double surplus_bad_ = 0;
    double surplus_variance_ = 0;
    bool accepted_ = false;
    deployment::rollout_phase verdict_ = deployment::rollout_phase::running;
};

} // namespace curranthoist::cored
