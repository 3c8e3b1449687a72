// How the leader brings the configuration and the roster to the VMs.

#include "curranthoist/control/cluster_state.hpp"
#include "curranthoist/control/controller.hpp"

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace curranthoist::control {

namespace {

// Roster changes are collected for this long, so that many reports make one message.
constexpr base::duration roster_interval{100};
// Revisions that follow each other within this time are sent as one delta.
constexpr base::duration configuration_interval{50};
// The next sessions wait for the next interval when this much was sent. The whole
// configuration and roster have 780 kB and 450 kB at 4,500 targets: frames for 720 VMs at
// once would take more memory than a control process may have.
constexpr std::size_t max_bytes_per_interval = 16'000'000;
// What was sent to a VM and is not applied after this time is sent again.
constexpr base::duration resend_wait{2000};

} // namespace

void controller::note_applied_revision(session_state& from, base::revision applied,
                                       event_time now)
{
    // A VM that did not apply what was sent lacks the base of a delta.
    const bool refused = from.configuration_sent && applied < *from.configuration_sent &&
                         now.monotonic - from.configuration_sent_at >= resend_wait;
    if (!from.configuration_sent || refused) {
        from.configuration_sent = applied;
        from.configuration_sent_at = now.monotonic;
        configuration_due_ = true;
    }
}

void controller::push_configuration(event_time now)
{
    const bool changed = state_.current().number != feed_.revision();
    if ((!changed && !configuration_due_) ||
        now.monotonic - configuration_pushed_ < configuration_interval) {
        return;
    }
    configuration_pushed_ = now.monotonic;
    configuration_due_ = false;
    feed_.advance(state_.current());
    std::size_t sent = 0;
    for (auto& [session, one] : sessions_) {
        // Only the open process may learn of assignments: another process of the same VM
        // would take them for its own.
        if (!one.configuration_sent || *one.configuration_sent == feed_.revision() ||
            !is_open(one)) {
            continue;
        }
        if (sent >= max_bytes_per_interval) {
            configuration_due_ = true;
            return;
        }
        for (configuration_feed::frame& frame :
             feed_.frames_from(*one.configuration_sent)) {
            sent += frame.size();
            output_.messages.push_back({session, std::move(frame)});
        }
        one.configuration_sent = feed_.revision();
        one.configuration_sent_at = now.monotonic;
    }
}

// Right after a failover the roster is incomplete, and a full update would take facts
// away that the VMs still have.
bool controller::roster_is_complete(event_time now) const
{
    if (now.monotonic - leases_.elected() >= lease_controller::expiry_wait) {
        return true;
    }
    const bool complete =
        std::all_of(sessions_.begin(), sessions_.end(), [this](const auto& entry) {
            return !is_open(entry.second) || entry.second.full_facts_seen;
        });
    return complete &&
           std::all_of(state_.open_processes().begin(), state_.open_processes().end(),
                       [this](const auto& entry) {
                           return has_session(entry.first, entry.second.run);
                       });
}

void controller::push_roster(event_time now)
{
    const bool due = roster_due_ || roster_.sequence() != roster_pushed_sequence_;
    if (!due || now.monotonic - roster_pushed_ < roster_interval ||
        !roster_is_complete(now)) {
        return;
    }
    roster_pushed_ = now.monotonic;
    roster_pushed_sequence_ = roster_.sequence();
    roster_due_ = false;
    // Most sessions have the same sequence and share one frame.
    std::map<std::pair<bool, std::uint64_t>, std::vector<std::uint8_t>> frames;
    std::size_t sent = 0;
    for (auto& [session, one] : sessions_) {
        const bool current = one.roster_started && one.roster_sent == roster_.sequence();
        if (current || !is_open(one)) {
            continue;
        }
        if (sent >= max_bytes_per_interval) {
            roster_due_ = true;
            return;
        }
        std::vector<std::uint8_t>& frame = frames[{one.roster_started, one.roster_sent}];
        if (frame.empty()) {
            frame =
                wire::encode_frame(roster_.update(one.roster_sent, !one.roster_started));
        }
        sent += frame.size();
        output_.messages.push_back({session, frame});
        one.roster_started = true;
        one.roster_sent = roster_.sequence();
    }
}

} // namespace curranthoist::control
