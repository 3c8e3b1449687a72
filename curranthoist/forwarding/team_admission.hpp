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
// leader for some seconds admits its equal part of the team's rate.
class team_admission
{
public:
    // A VM that has not heard the leader for this time takes its equal part.
    static constexpr base::duration max_silence{3000};

    explicit team_admission(std::uint64_t seed)
        : random_(seed)
    {}

    // Admits a request, or returns the time after which the caller may come back.
    std::optional<base::duration> refusal(const deployment::team& team,
                                          base::instant now);
    // The leader's newest shares; teams that it does not name are admitted whole.
    void set_shares(std::span<const deployment::team_share> shares);
    // The leader was heard.
    void on_leader(base::instant now) { leader_heard_ = now; }
    void set_vm_count(std::size_t count) { vm_count_ = count == 0 ? 1 : count; }

    // The use of each limited team since the last call.
    [[nodiscard]] std::vector<deployment::team_use> take_uses();

private:
    struct state
    {
        // A request is admitted when it reaches 1. Starts at random, so that the first
        // requests of many VMs are not all admitted, or all refused.
        double credit;
        base::instant credited_at;
        double admitted_part = 1.0;
        base::duration wait;
        std::uint32_t arrived = 0;
        std::uint32_t admitted = 0;
    };

    state& state_of(const std::string& team, base::instant now);

    base::random_source random_;
    std::size_t vm_count_ = 1;
    base::instant leader_heard_;
    std::map<std::string, state> teams_;
};

} // namespace curranthoist::forwarding
