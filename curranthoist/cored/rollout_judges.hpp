#pragma once

#include "curranthoist/cored/rollout_judge.hpp"
#include "curranthoist/cored/rollout_standing.hpp"
#include "curranthoist/deployment/rollout.hpp"
#include "curranthoist/deployment/rollout_share.hpp"
#include "curranthoist/deployment/version_answers.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace curranthoist::cored {

// The judges of the running roll-outs, on the leader of the core. They work on the sum of
// what the fronts count.
class rollout_judges
{
public:
    struct decision
    {
        deployment::rollout order;
        deployment::rollout_phase phase = deployment::rollout_phase::running;
        // What decided: the answers that this leader counted, and the test's evidence.
        rollout_judge::counts ordered = {};
        rollout_judge::counts old = {};
        double evidence = 0.0;
    };

    // A decision that the state still lacks is named again after this time.
    static constexpr base::duration decision_interval{1000};

    explicit rollout_judges(rollout_judge::options options)
        : options_(options)
    {}

    // Starts judges for the roll-outs that run, and ends those of others. The deadline is
    // measured on the wall clock, since it may be another leader's order.
    void set_rollouts(const std::map<base::service_id, deployment::rollout>& rollouts,
                      base::instant now, base::instant wall_now);
    // Takes over one front's counts, which it has added up since it learned of the order.
    // A count that is lower than the last one is that of a front that has restarted.
    void add(const std::string& front,
             std::span<const deployment::version_answers> answers, base::instant now);
    void update(base::instant now);
    [[nodiscard]] std::vector<deployment::rollout_share> shares() const;
    // Returns the judgements that are final and that the state lacks. The old targets
    // stop at a completion, so it waits until no front that reports sends to them or
    // awaits an answer of them, or until it must be committed.
    [[nodiscard]] std::vector<decision> take_decisions(base::instant now);
    [[nodiscard]] std::vector<rollout_standing> standings() const;
    // Returns the standings of the roll-outs whose step differs from what the last call
    // returned.
    [[nodiscard]] std::vector<rollout_standing> take_steps();
    // Forgets everything, for a process that begins to lead.
    void clear();

private:
    struct front_report
    {
        base::instant at;
        // Reports since the share became full. The first one asks for that share.
        unsigned with_full_share = 0;
        std::uint64_t open_at_old = 0;
    };
    struct running_rollout
    {
        deployment::rollout order;
        rollout_judge judge;
        base::instant named_at = {};
        // The last counts of each front, by version.
        std::map<std::pair<std::string, std::string>, rollout_judge::counts> last = {};
        std::map<std::string, front_report> fronts = {};
        // 0 before the first one was named.
        std::size_t named_step = 0;
    };

    [[nodiscard]] static rollout_standing standing(const running_rollout& one);

    [[nodiscard]] static bool is_due(const running_rollout& one, base::instant now);

    rollout_judge::options options_;
    std::map<base::service_id, running_rollout> running_;
};

} // namespace curranthoist::cored
