#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/cored/team_standing.hpp"
#include "curranthoist/deployment/team.hpp"
#include "curranthoist/deployment/team_use.hpp"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace curranthoist::cored {

// The accounts of the teams with a limit, on the leader of the core: what each may still
// send by its rate and burst, and which part of its requests fits. Load pattern: a team
// that sends many times its rate over hundreds of VMs that each see little of it.
//
// VMs report what they admitted some tenths of a second late; what they admitted too much
// meanwhile is taken off what follows, so that the sum over a window of some seconds
// holds. An account starts without its burst, so that a change of the leader adds none.
class team_accounts
{
public:
    // All VMs together may admit `slack` requests too many before a share binds. A part
    // of it is saved up beside the burst and left to reports on their way, so that a team
    // that only seems to be beyond its limit for a moment is not refused.
    explicit team_accounts(double slack)
        : slack_(slack)
    {}

    // Takes over the teams of a new configuration. Accounts are cut to the new bursts.
    void set_teams(std::span<const deployment::team> teams, base::instant now);
    // One VM's report.
    void add(std::span<const deployment::team_use> uses, base::instant now);
    // The teams of which only a part fits now.
    [[nodiscard]] std::vector<deployment::team_share> shares(base::instant now);
    // All teams with a limit, by name.
    [[nodiscard]] std::vector<team_standing> standings(base::instant now) const;

private:
    struct account
    {
        double rate = 0.0;
        double burst = 0.0;
        double tokens = 0.0;
        base::instant filled_at;
        // Requests a second that arrive, smoothed.
        double demand = 0.0;
        double arrived = 0.0;
        base::instant measured_at;
        // What arrived lately, and the rate that it shows at least.
        double risen = 0.0;
        double last_risen_rate = 0.0;
        base::instant rise_measured_at;
        // Of the last shares.
        double admitted_part = 1.0;
    };

    void fill(account& one, base::instant now) const;
    static void measure(account& one, base::instant now);
    static double risen_rate(const account& one);

    double slack_;
    std::map<std::string, account> accounts_;
};

} // namespace curranthoist::cored
