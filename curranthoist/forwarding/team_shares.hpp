#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/forwarding/request_priority.hpp"
#include "curranthoist/forwarding/request_room.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace curranthoist::forwarding {

// Decides which teams' requests get the room of one process when it runs short. Load
// pattern: a team without a limit sends many times its usual, the room for open requests
// fills, and every team is refused as often as the one that fills it.
//
// When little of the room is left, each team has a fair rate that falls as the room
// fills, so that it settles where what is admitted equals what ends. A team below that
// rate is admitted whole; of one above it, the part that fits. A less urgent request sees
// less room while more urgent ones arrive. No team is admitted less than a third as often
// as all teams together, so that none is starved by the others or by its priority.
//
// Time and the room are arguments; one process has one.
//
//     const auto found = shares.decide(team, priority, limit.room_for(sends), now);
//     if (found != team_shares::verdict::admitted) { ... }   // refuse: it has not run
class team_shares
{
public:
    // The part of the room up to which every request is admitted.
    static constexpr double free_part = 0.85;
    // What each more urgent priority that arrives takes off the room of a request, and
    // for how many of them.
    static constexpr double priority_part = 0.05;
    static constexpr std::size_t max_priority_parts = 3;
    // Each team is admitted at least this part as often as all teams together. Callers
    // are promised a quarter; the rest is for what becomes of a request afterwards.
    static constexpr double min_relative_service = 1.0 / 3;
    // Over which the rates of teams are measured, so that a team that turns hot counts as
    // such within a few seconds.
    static constexpr base::duration measured_time{5000};
    // Over which the used room is averaged: several times as long as requests are open,
    // so that a moment's crowd does not count as a shortage.
    static constexpr base::duration room_time{1000};

    enum class verdict
    {
        admitted,
        // More urgent requests need the room.
        less_urgent,
        // The team uses more than its equal share.
        above_share,
        // There is no room for anybody.
        no_room,
    };

    // Decides about a request that arrives. One without a team is admitted: it has only
    // the room as its limit.
    verdict decide(std::string_view team, request_priority priority,
                   const request_room& room, base::instant now);
    // Whether the team has lately sent more than the mean of all teams that send.
    [[nodiscard]] bool is_above_share(std::string_view team, base::instant now) const;

private:
    // A sum in which what was added fades over the measured time.
    class fading_sum
    {
    public:
        [[nodiscard]] double at(base::instant now) const;
        void add(double amount, base::instant now);

    private:
        double sum_ = 0;
        base::instant added_at_;
    };
    struct team_state
    {
        // Costs of what arrived.
        fading_sum arrived;
        base::instant arrived_at;
        // A request is admitted when it reaches 1.
        double credit = 1.0;
    };

    // How many more urgent priorities have arrived lately, up to those that count.
    [[nodiscard]] std::size_t more_urgent(request_priority priority,
                                          base::instant now) const;
    [[nodiscard]] double mean_arrived(base::instant now) const;
    // The part of the team's requests that fits, 0 to 1.
    [[nodiscard]] double fitting_part(const team_state& one, double used,
                                      base::instant now) const;
    void average_room(double used, base::instant now);
    void forget_idle(base::instant now);

    std::map<std::string, team_state, std::less<>> teams_;
    std::map<request_priority, base::instant> priorities_;
    // Costs over all teams.
    fading_sum arrived_;
    fading_sum admitted_;
    double mean_used_ = 0;
    base::instant used_at_;
    base::instant forgot_at_;
};

// As in log lines and metrics.
constexpr const char* verdict_name(team_shares::verdict found)
{
    switch (found) {
    case team_shares::verdict::admitted:
        return "admitted";
    case team_shares::verdict::less_urgent:
        return "less_urgent";
    case team_shares::verdict::above_share:
        return "above_share";
    case team_shares::verdict::no_room:
        return "no_room";
    }
    return "";
}

} // namespace curranthoist::forwarding
