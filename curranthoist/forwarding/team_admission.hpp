#pragma once

#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/instant.hpp"
#include "curranthoist/base/random_source.hpp"
#include "curranthoist/deployment/team.hpp"
#include "curranthoist/deployment/team_use.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace curranthoist::forwarding {

// Admits the requests of teams within their limits on one of many VMs. Load pattern: a
// team sends many times its rate, its requests spread over all VMs, of which each sees
// less than one in a second.
//
// The leader of the core knows what all VMs admitted and names the part of a team's
// requests that fits. Each VM admits that part of what arrives, by an accumulator, so
// that the sum is right also where a VM sees few requests. A VM that does not hear the
// leader admits its equal part of the team's rate, less what it has admitted beyond that
// part: the leader may have gone just as the team turned hot.
class team_admission
{
public:
    // Reports leave at this interval, sooner while there are uses without an answer.
    static constexpr base::duration report_interval{400};
    static constexpr base::duration use_report_interval{200};
    // A VM that has not heard the leader for this time takes its equal part.
    static constexpr base::duration max_silence{550};
    // So does one with requests that the leader has not answered for this time.
    static constexpr base::duration max_unanswered{400};

    // All VMs together may admit `slack` requests of a team too many.
    team_admission(std::uint64_t seed, double slack)
        : random_(seed)
        , slack_(slack)
    {}

    // Admits a request, or returns the time after which the caller may come back.
    std::optional<base::duration> refusal(const deployment::team& team,
                                          base::instant now);
    // The leader's newest shares; teams that it does not name are admitted whole.
    void set_shares(std::span<const deployment::team_share> shares);
    // The leader was heard. A new one, or the same one in another term, does not know yet
    // what teams send: meanwhile this VM admits its equal part of each team that it has
    // no share of.
    void on_leader(const base::endpoint& leader, base::term term, base::instant now);
    void set_vm_count(std::size_t count) { vm_count_ = count == 0 ? 1 : count; }

    // The use of each limited team since the leader was last heard, for a report to it. A
    // report that stays without an answer may be lost, so the next one contains its uses
    // again: the account errs to the side of the limit.
    [[nodiscard]] std::vector<deployment::team_use> report_uses();
    // The time in which a report must follow the one before.
    [[nodiscard]] base::duration wanted_report_interval() const
    {
        return unanswered_since_ ? use_report_interval : report_interval;
    }

private:
    struct state
    {
        // A request is admitted when it reaches 1. Starts at random, so that the first
        // requests of many VMs are not all admitted, or all refused.
        double credit;
        // What this VM may admit by its equal part of the rate. Below 0 if it has
        // admitted more.
        double own_part;
        base::instant filled_at;
        double admitted_part = 1.0;
        base::duration wait;
        std::uint32_t arrived = 0;
        std::uint32_t admitted = 0;
        // Of these, in the last report.
        std::uint32_t reported_arrived = 0;
        std::uint32_t reported_admitted = 0;
    };

    state& state_of(const std::string& team, base::instant now);
    [[nodiscard]] bool hears_leader(base::instant now) const;
    // Spends the equal part of a VM without a leader on one request. After a long time a
    // part of less than one request is spent on a chance of that size, so that all VMs
    // together admit the sum of their parts.
    bool spend_own_part(state& one, double fair_part, base::instant now);

    base::random_source random_;
    double slack_;
    std::size_t vm_count_ = 1;
    base::instant leader_heard_;
    // Of the oldest use without an answer.
    std::optional<base::instant> unanswered_since_;
    std::optional<base::endpoint> leader_;
    base::term leader_term_;
    // The leader is new until then, and shares only fall.
    base::instant leader_new_until_;
    bool was_long_alone_ = false;
    std::map<std::string, state> teams_;
};

} // namespace curranthoist::forwarding
