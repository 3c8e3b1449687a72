#pragma once

#include "curranthoist/base/zone_traffic.hpp"
#include "curranthoist/consensus/replica_host.hpp"
#include "curranthoist/cored/former_members.hpp"
#include "curranthoist/cored/front_sessions.hpp"
#include "curranthoist/cored/join_client.hpp"
#include "curranthoist/cored/membership_keeper.hpp"
#include "curranthoist/cored/next_turn_call.hpp"
#include "curranthoist/cored/operator_requests.hpp"
#include "curranthoist/cored/target_list_reader.hpp"
#include "curranthoist/deployment/deployment_state.hpp"
#include "curranthoist/http/caller_server.hpp"
#include "curranthoist/platform/node_settings.hpp"
#include "curranthoist/storage/log_store.hpp"
#include "curranthoist/storage/posix_disk.hpp"

#include <ev++.h>

#include <memory>
#include <string>

namespace curranthoist::cored {

class founder_choice;

// One member of the core: the replicated log with the operators' state, their HTTP
// server, the sessions of the front processes and, on the leader, the reader of the
// platform's list. All of it runs on one loop.
//
// It finds its place by itself: with an empty data folder it founds the log if it was
// named the founder, and otherwise asks the members to take it in under a new identity.
class core_process
{
public:
    // Throws base::findings_error if settings that it needs are missing, and
    // std::system_error if an address can't be bound.
    // `founder` is the founder's address for other members at the first start, and empty
    // afterwards. `choice` answers other processes of a first start and must outlive it.
    core_process(ev::loop_ref loop, platform::node_settings settings,
                 founder_choice& choice, base::endpoint founder);
    core_process(const core_process&) = delete;
    core_process& operator=(const core_process&) = delete;

    // True if the data folder belongs to a member already.
    static bool has_identity(const platform::node_settings& settings);

    // Begins a graceful stop: hands leadership over if it has it, and ends the loop.
    void stop();
    // Takes over settings that may change while it runs: the seeds.
    void reload(const platform::node_settings& settings);

    // Every metric in the Prometheus text format.
    [[nodiscard]] std::string metrics_text();

private:
    using host_type = consensus::replica_host<deployment::deployment_state>;

    static storage::posix_disk& prepare(storage::posix_disk& disk,
                                        const platform::node_settings& settings,
                                        const base::endpoint& founder);
    [[nodiscard]] consensus::host_options host_options();
    [[nodiscard]] base::endpoint own_peers() const;
    [[nodiscard]] front_sessions::core_view view() const;

    void on_leadership(bool leads);
    // Publishes a list that was read for the leader of `term`, if this process still is.
    void on_list(base::term term, std::vector<deployment::listed_target> targets,
                 base::instant read_at);
    // On the leader: takes the teams of the newest configuration over.
    void update_teams();
    // On the leader of `term`: lets a quorum confirm it, for the leases of fronts on
    // keys.
    void confirm_leadership(base::term term, base::instant now);
    [[nodiscard]] bool has_running_rollout() const;
    // Proposes the ends of roll-outs that are judged by the leader of `term`.
    void end_rollouts(base::term term);
    void log_rollout_steps();
    void on_tick(ev::timer& watcher, int events);
    void on_stop_timer(ev::timer& watcher, int events);
    void join_if_needed(base::instant now);
    // A process that dials this one, or asks to be taken in, is reached at `peers`. This
    // process asks it where the leader is while it has no place itself.
    void learn(const base::endpoint& peers);
    // Tells the seeds that are no members, and as the leader the former members, where
    // this member is: an observer that has just started, the fronts that know no other
    // address, and a process that lost its disk and its seeds learn of the core so.
    void announce(const consensus::replica_status& status, base::instant now);

    ev::loop_ref loop_;
    platform::node_settings settings_;
    base::logger log_{"core"};
    base::monotonic_clock clock_;
    base::endpoint founder_;
    storage::posix_disk disk_;
    storage::log_store<storage::posix_disk> store_;
    deployment::deployment_state state_;
    base::zone_traffic traffic_;
    front_sessions sessions_;
    // Passes a new state on once all entries that are committed with it are applied.
    next_turn_call state_change_;
    host_type host_;
    membership_keeper keeper_;
    former_members former_members_;
    operator_requests requests_;
    std::unique_ptr<join_client> joiner_;
    std::unique_ptr<target_list_reader> reader_;
    std::unique_ptr<http::caller_server> server_;
    ev::timer tick_;
    ev::timer stop_timer_;
    base::instant stop_until_;
    base::instant announced_;
    base::instant announced_to_former_;
    base::instant confirmed_at_;
    // The configuration whose teams are in use on this process as the leader.
    std::uint64_t teams_version_ = 0;
    // Since when this process has neither been a voter with a leader nor led.
    base::instant without_place_since_ = base::instant::max();
};

} // namespace curranthoist::cored
