#pragma once

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
// that the sum is right also where a VM sees few requests. A VM that has not heard the
// leader for two rounds of reports admits its equal part of the team's rate, less what it
// has admitted beyond that part: the leader may have gone just as the team turned hot.
class team_admission
{
public:
    // A VM that has not heard the leader for this time takes its equal part. Reports
    // leave each 400 ms, or 600 ms if a timer is late.
    static constexpr base::duration max_silence{800};
    // So does one that has admitted more than that lately, after this time.
    static constexpr base::duration max_silence_in_debt{650};

    explicit team_admission(std::uint64_t seed)
        : random_(seed)
    {}

    // Admits a request, or returns the time after which the caller may come back.
    std::optional<base::duration> refusal(const deployment::team& team,
                                          base::instant now);
    // The leader's newest shares; teams that it does not name are admitted whole.
    void set_shares(std::span<const deployment::team_share> shares);
    // The leader was heard.
    void on_leader(base::instant now);
    void set_vm_count(std::size_t count) { vm_count_ = count == 0 ? 1 : count; }

    // The use of each limited team since the leader was last heard, for a report to it. A
    // report that stays without an answer may be lost, so the next one contains its uses
    // again: the account errs to the side of the limit.
    [[nodiscard]] std::vector<deployment::team_use> report_uses();

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

    base::random_source random_;
    std::size_t vm_count_ = 1;
    base::instant leader_heard_;
    // Until then shares only fall.
    base::instant shares_kept_until_;
    std::map<std::string, state> teams_;
};

} // namespace curranthoist::forwarding
