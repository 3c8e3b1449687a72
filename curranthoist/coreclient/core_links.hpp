#pragma once

#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/logger.hpp"
#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/coreclient/followed_leader.hpp"
#include "curranthoist/coreclient/listing_order.hpp"
#include "curranthoist/deployment/gatherer.hpp"
#include "curranthoist/deployment/listing_change.hpp"
#include "curranthoist/deployment/rollout.hpp"
#include "curranthoist/deployment/rollout_share.hpp"
#include "curranthoist/deployment/target_sample.hpp"
#include "curranthoist/deployment/team_use.hpp"
#include "curranthoist/deployment/version_answers.hpp"
#include "curranthoist/deployment/zone_answers.hpp"
#include "curranthoist/deployment/zone_share.hpp"
#include "curranthoist/wire/peer_dialer.hpp"

#include <ev++.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace curranthoist::coreclient {

// The state that operators set, as received from a core process.
struct received_state
{
    // Index in the replicated log; a state with a higher index is newer.
    std::uint64_t index = 0;
    std::uint64_t version = 0;
    std::string document;
    std::set<base::zone_id> evacuated;
    std::vector<deployment::rollout> rollouts;
};

// The connections of one process, a front or an observer, to every member of the core.
// The class reports to the members which state and which list the process has, and passes
// newer ones to the callbacks. The members that the leader names replace the seeds.
class core_links
{
public:
    struct handlers
    {
        // Called with a state that is newer than all states received before.
        std::function<void(received_state)> on_state;
        // Called for a list that is newer than all lists received before, with the
        // complete list or with the changes since the list that was passed on last.
        std::function<void(const deployment::listing_change&)> on_listing;
        // Called when a later reading, which began at `read_at`, contains the same
        // targets.
        std::function<void(base::instant read_at)> on_listing_check;
        // Called with the number of front processes that share the limits.
        std::function<void(std::size_t)> on_front_count;
        // Called with the targets that the leader suspects of poor performance, and with
        // an empty set when the leader no longer responds.
        std::function<void(std::set<base::target_id>)> on_suspects;
        // Called with the front processes that gather parts for others, by the leader.
        std::function<void(std::vector<deployment::gatherer>)> on_gatherers;
        // Called when the leader confirms that the state of `index` was the newest one
        // at `at` or later.
        std::function<void(std::uint64_t index, base::instant at)> on_confirmed;
        // Called with each answer of the leader, with the teams of which only a part of
        // the requests fits into their limits. The same leader in another term has lost
        // its accounts.
        std::function<void(const base::endpoint& leader, base::term term,
                           std::vector<deployment::team_share>)>
            on_team_shares;
        // Returns the requests of teams since the last report to the leader.
        std::function<std::vector<deployment::team_use>()> team_uses;
        // Returns the time in which a report to the leader must follow the one before,
        // also if a timer is late; nothing if max_report_delay is enough.
        std::function<std::optional<base::duration>()> wanted_report_interval;
        // Returns the samples of targets to report to the leader.
        std::function<std::vector<deployment::target_sample>()> samples;
        // Called with the shares of the running roll-outs, which the leader named at `at`
        // or later.
        std::function<void(std::span<const deployment::rollout_share>, base::instant at)>
            on_rollout_shares;
        // Returns the answers by version to report to the leader.
        std::function<std::vector<deployment::version_answers>()> answers_by_version;
        // Returns what was seen of the targets of each zone, to report to the leader.
        std::function<std::vector<deployment::zone_answers>()> answers_by_zone;
        // Called with each answer of the leader, with the share of its queries that this
        // zone gives away; nothing if it keeps all.
        std::function<void(std::optional<deployment::zone_share>)> on_zone_share;
        // Returns true if reports in rare_report_interval are enough. Without it they are
        // not.
        std::function<bool()> may_report_rarely;
        // The wait that a request between zones is worth, reported to the leader.
        base::duration zone_cost{};
    };

    static constexpr base::duration report_interval{400};
    static constexpr base::duration tick_interval = report_interval / 2;
    // A report to the leader follows the one before after this time at most.
    static constexpr base::duration max_report_delay = report_interval + tick_interval;
    // Interval of the reports to the leader of a process on whose reports little depends.
    // Several reports fit into leader_limit and into what the leader waits for.
    static constexpr base::duration rare_report_interval{600};
    // Interval of the reports to members other than the leader while the leader responds.
    // They serve only to notice a connection that has ended: the leader sends new data at
    // once, and all members get reports in report_interval when it stops responding.
    static constexpr base::duration follower_report_interval{10'800};
    // If the leader has not responded for this time, the process also connects to the
    // seeds and to the unconfirmed members: the leader may be a member that it does not
    // know.
    static constexpr base::duration leader_limit{1200};
    // The process reconnects to a member that has not responded to a report for this
    // time.
    static constexpr base::duration answer_limit{1100};

    // Starts to connect to the seeds. `observes` is true for a process that serves no
    // callers.
    core_links(ev::loop_ref loop, base::vm_id self, base::zone_id zone,
               std::vector<base::endpoint> seeds, handlers callbacks,
               bool observes = false);
    ~core_links();
    core_links(const core_links&) = delete;
    core_links& operator=(const core_links&) = delete;

    // Replaces the addresses that are tried in addition to the known members while no
    // leader responds.
    void set_seeds(std::vector<base::endpoint> seeds);
    // States where this process takes gather requests. Call it before the loop runs.
    void offer_gathering(const base::endpoint& address)
    {
        gather_address_ = address.str();
    }
    // States in each report that this process is about to end.
    void announce_stop() { stopping_ = true; }
    // Adds an address at which a member listens according to the member itself. It counts
    // as unconfirmed until the leader names the members.
    void learn(const base::endpoint& member);
    // The address of the member that last reported that it is the leader; nullopt if no
    // member did so within leader_limit.
    [[nodiscard]] std::optional<base::endpoint> leader() const;
    // The members that the last leader named.
    [[nodiscard]] const std::set<base::endpoint>& members() const { return members_; }
    // The number of members that respond to reports in time.
    [[nodiscard]] std::size_t live_members() const;

private:
    struct link;
    struct sent_report;

    // True if the leader has responded within leader_limit and no later one is known.
    [[nodiscard]] bool leader_responds() const;
    [[nodiscard]] bool is_leader(const link& peer) const;
    void dial_missing();
    void on_tick(ev::timer& watcher, int events);
    // The current interval of the reports to this member.
    [[nodiscard]] base::duration report_interval_for(const link& peer) const;
    [[nodiscard]] bool is_report_wanted(const link& peer, base::instant now) const;
    void send_report(link& peer);
    void on_message(link& peer, const wire::envelope& message);
    void on_core_report(link& peer, const wire::core_report& report);
    // The member does not lead, or is not believed.
    void on_no_leader(const link& peer, const wire::core_report& report);
    // Forgets what only the leader before knows, and the numbers that it counted.
    void on_new_leader(const link& peer);
    void on_suspects(const wire::core_report& report);
    void on_team_answer(const wire::core_report& report, base::instant asked_at);
    void add_zone_answers(wire::front_report_message& report);
    void on_zone_share(const wire::core_report& report);
    void on_rollout_shares(const wire::core_report& report, base::instant asked_at);
    void on_gatherers(const wire::core_report& report);
    void drop_old_suspects();
    void on_snapshot(const link& peer, const wire::deployment_snapshot& snapshot);
    void on_listing(const link& peer, const wire::target_listing& listing,
                    base::duration packed_age);
    void on_target_listing_check(const link& peer,
                                 const wire::target_listing_check& check);
    void on_packed_envelope(link& peer, const wire::packed_envelope& packed);
    [[nodiscard]] wire::hello_message own_hello() const;

    ev::loop_ref loop_;
    base::vm_id self_;
    base::zone_id zone_;
    base::incarnation incarnation_;
    std::vector<base::endpoint> seeds_;
    // Names the members that the last leader named, so that it need not repeat them.
    std::uint64_t members_number_ = 0;
    // The members that the last leader named.
    std::set<base::endpoint> members_;
    followed_leader leader_{leader_limit};
    // Addresses of members that came from other sources than the leader since then.
    std::set<base::endpoint> unconfirmed_members_;
    handlers callbacks_;
    bool observes_;
    base::logger log_{"core-links"};
    base::monotonic_clock clock_;
    std::map<base::endpoint, std::unique_ptr<link>> links_;
    ev::timer tick_;
    std::uint64_t sequence_ = 0;
    // The leader's last set of suspects and its number; 0 if there is none.
    std::set<base::target_id> suspects_;
    std::uint64_t suspects_number_ = 0;
    // The number of the last choice of gatherers; 0 if there is none.
    std::uint64_t gatherers_number_ = 0;
    std::string gather_address_;
    bool stopping_ = false;
    // What was reported of each zone to the leader.
    std::map<base::zone_id, deployment::zone_answers> reported_zones_;
    std::uint64_t state_index_ = 0;
    listing_order listing_;
};

} // namespace curranthoist::coreclient
