#include "curranthoist/cored/rollout_judges.hpp"

#include <algorithm>

namespace curranthoist::cored {

namespace {

// A front that has not reported for this time has no share in force.
constexpr base::duration silent_after{1200};

} // namespace

void rollout_judges::set_rollouts(
    const std::map<base::service_id, deployment::rollout>& rollouts, base::instant now,
    base::instant wall_now)
{
    std::erase_if(running_, [&rollouts](const auto& one) {
        const auto stored = rollouts.find(one.first);
        return stored == rollouts.end() ||
               stored->second.phase != deployment::rollout_phase::running ||
               !stored->second.same_order(one.second.order);
    });
    for (const auto& [service, order] : rollouts) {
        if (order.phase != deployment::rollout_phase::running ||
            running_.contains(service)) {
            continue;
        }
        // The wall clocks of two leaders may differ, so the rest is bounded by the order.
        const base::duration rest =
            std::min(order.ordered_at + order.duration - wall_now, order.duration);
        running_.emplace(service,
                         running_rollout{order, rollout_judge(options_, rest, now)});
    }
}

void rollout_judges::add(const std::string& front,
                         std::span<const deployment::version_answers> answers,
                         base::instant now)
{
    struct growth
    {
        rollout_judge::counts old;
        rollout_judge::counts ordered;
        std::uint64_t open_at_old = 0;
    };
    // The ordered version is compared with the old one, so it must not be judged before
    // the old one's answers in the same report.
    std::map<base::service_id, growth> grown;
    for (const deployment::version_answers& one : answers) {
        const auto found = running_.find(one.service);
        if (found == running_.end()) {
            continue;
        }
        running_rollout& rollout = found->second;
        rollout_judge::counts& last = rollout.last[{front, one.version}];
        const bool restarted = one.answers < last.answers || one.bad < last.bad;
        if (restarted) {
            last = {};
        }
        growth& of_service = grown[one.service];
        const bool is_ordered = one.version == rollout.order.target_version;
        rollout_judge::counts& sum = is_ordered ? of_service.ordered : of_service.old;
        sum.answers += one.answers - last.answers;
        sum.bad += one.bad - last.bad;
        of_service.open_at_old += is_ordered ? 0 : one.open;
        last = {one.answers, one.bad};
    }
    for (const auto& [service, one] : grown) {
        running_rollout& rollout = running_.at(service);
        front_report& newest = rollout.fronts[front];
        newest.at = now;
        newest.open_at_old = one.open_at_old;
        newest.with_full_share =
            rollout.judge.share() == 1.0 ? newest.with_full_share + 1 : 0;
        rollout.judge.add(one.old, one.ordered);
    }
}

void rollout_judges::update(base::instant now)
{
    for (auto& [service, one] : running_) {
        one.judge.update(now);
    }
}

std::vector<deployment::rollout_share> rollout_judges::shares() const
{
    std::vector<deployment::rollout_share> result;
    for (const auto& [service, one] : running_) {
        result.push_back({service, one.order.target_version, one.judge.share()});
    }
    return result;
}

bool rollout_judges::is_due(const running_rollout& one, base::instant now)
{
    const deployment::rollout_phase verdict = one.judge.verdict();
    if (verdict == deployment::rollout_phase::running) {
        return false;
    }
    if (one.named_at != base::instant()) {
        return now - one.named_at >= decision_interval;
    }
    return verdict == deployment::rollout_phase::rolled_back || one.judge.must_end() ||
           std::all_of(one.fronts.begin(), one.fronts.end(), [now](const auto& known) {
               const front_report& newest = known.second;
               // Without a newer share it sends to the old targets again, whatever the
               // leader does.
               const bool is_silent = now - newest.at > silent_after;
               return is_silent ||
                      (newest.with_full_share > 1 && newest.open_at_old == 0);
           });
}

std::vector<rollout_judges::decision> rollout_judges::take_decisions(base::instant now)
{
    std::vector<decision> result;
    for (auto& [service, one] : running_) {
        if (is_due(one, now)) {
            one.named_at = now;
            result.push_back({one.order, one.judge.verdict(), one.judge.ordered_total(),
                              one.judge.old_total(), one.judge.evidence()});
        }
    }
    return result;
}

rollout_standing rollout_judges::standing(const running_rollout& one)
{
    rollout_standing result;
    result.service = one.order.service.str();
    result.target_version = one.order.target_version;
    result.base_version = one.order.base_version;
    result.share = one.judge.share();
    result.step = one.judge.step();
    result.plan = rollout_judge::plan();
    result.ordered = one.judge.ordered_total();
    result.old = one.judge.old_total();
    result.evidence = one.judge.evidence();
    result.roll_back_bound = rollout_judge::roll_back_bound();
    result.accept_bound = rollout_judge::accept_bound();
    result.remaining = one.judge.rest();
    for (const auto& [front, report] : one.fronts) {
        result.open_at_old += report.open_at_old;
    }
    return result;
}

std::vector<rollout_standing> rollout_judges::standings() const
{
    std::vector<rollout_standing> result;
    for (const auto& [service, one] : running_) {
        result.push_back(standing(one));
    }
    return result;
}

std::vector<rollout_standing> rollout_judges::take_steps()
{
    std::vector<rollout_standing> result;
    for (auto& [service, one] : running_) {
        if (one.named_step != one.judge.step()) {
            one.named_step = one.judge.step();
            result.push_back(standing(one));
        }
    }
    return result;
}

void rollout_judges::clear()
{
    running_.clear();
}

} // namespace curranthoist::cored
