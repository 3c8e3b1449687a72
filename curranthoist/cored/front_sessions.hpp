#pragma once

#include "curranthoist/base/logger.hpp"
#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/base/wall_clock.hpp"
#include "curranthoist/base/zone_traffic.hpp"
#include "curranthoist/consensus/peer_session.hpp"
#include "curranthoist/cored/gatherer_choice.hpp"
#include "curranthoist/cored/rollout_judges.hpp"
#include "curranthoist/cored/send_allowance.hpp"
#include "curranthoist/cored/suspect_names.hpp"
#include "curranthoist/cored/suspect_targets.hpp"
#include "curranthoist/cored/team_accounts.hpp"
#include "curranthoist/cored/zone_loads.hpp"
#include "curranthoist/deployment/deployment_state.hpp"
#include "curranthoist/deployment/listing_change.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace curranthoist::cored {

// The sessions of the front processes with one core process. Each front keeps a session
// with every member and takes the newest state from any of them: the leader sends as fast
// as its link bears, the others only to a front that still lacks it at a later report.
// Where there are many fronts, each member serves a part of them.
class front_sessions
{
public:
    // What the process says of itself in each answer to a report.
    struct core_view
    {
        // Whether it may act as the leader now.
        bool leader = false;
        // In which it leads; otherwise the latest one of which it knows the leader.
        std::uint64_t term = 0;
        // Addresses of the members, in the same order at each of them, and the own one.
        std::vector<std::string> members;
        std::string self;
    };
    using view_source = std::function<core_view()>;

    // A front without a report for this time is not counted; a session without one is
    // closed after twice that.
    static constexpr base::duration report_limit{2000};
    // The same for a front that hears another member as the leader, and reports rarely
    // to this one. Longer than core_links::follower_report_interval. A process that has
    // led for report_limit does not need it: by then each front has reported to it.
    static constexpr base::duration rare_report_limit{14'000};
    // A member that does not lead sends a state to a front that has lacked it for this
    // time and does not hear the leader, or that has lacked it for the longer time: a
    // leader needs a second for hundreds of fronts, and all members at once would need
    // longer.
    static constexpr base::duration follower_delay{250};
    static constexpr base::duration follower_limit{1500};
    // Up to this many fronts the leader serves all of them: a follower learns of a commit
    // up to a heartbeat later. Beyond, its link would need seconds for each state.
    static constexpr std::size_t max_direct_fronts = 100;
    // The leader sends a state to a front of another member that has lacked it for this
    // time. Followers learn of a commit and send well within it.
    static constexpr base::duration leader_limit{800};
    // A front whose reports end while its session stays open is missed by the count of
    // fronts for this time at most.
    static constexpr base::duration count_interval{100};
    // A front that still reports an older list this long after a newer one was sent to it
    // gets the whole list again.
    static constexpr base::duration listing_delay{1000};
    // Suspects are named anew at most once in this time; it costs a look at each target.
    static constexpr base::duration suspects_interval{200};
    // The gatherers are chosen anew at most once in this time.
    static constexpr base::duration gatherers_interval{200};
    // The shares of zones are computed anew at most once in this time.
    static constexpr base::duration zones_interval{200};
    // The shares of teams are computed anew at most once in this time.
    static constexpr base::duration shares_interval{100};
    // A leader that no quorum has confirmed for this time names no shares of roll-outs:
    // another one may have rolled them back.
    static constexpr base::duration confirmation_limit{1200};

    // States and lists fill a part of the link at most. The state must outlive it.
    // gatherer_choice explains `gather_from_fronts`, team_accounts `team_limit_slack`,
    // and rollout_judge `rollouts`.
    front_sessions(const deployment::deployment_state& state, double link_bytes_per_s,
                   view_source view, std::size_t gather_from_fronts = 0,
                   double team_limit_slack = 0.0, rollout_judge::options rollouts = {});

    void on_session(std::unique_ptr<consensus::peer_session> session,
                    const wire::hello& hello);
    // Adds what is exchanged over later sessions to `traffic`, which must outlive this
    // object.
    void count_traffic(base::zone_traffic& traffic) { traffic_ = &traffic; }
    // The replicated state has changed.
    void on_state_change();
    // A reading of the platform's list by this process, which leads in `term`.
    void on_listing(std::uint64_t term, std::vector<deployment::listed_target> targets,
                    base::instant read_at);
    // A quorum confirmed this process as the leader of `term`, in a round that began at
    // `at`; no state was newer than that of `index` then.
    void confirm(std::uint64_t term, base::log_index index, base::instant at);
    // The teams of the newest configuration, on the leader.
    void set_teams(std::span<const deployment::team> teams)
    {
        accounts_.set_teams(teams, clock_.now());
    }
    // Judges the running roll-outs and returns the ends that the state lacks; call it
    // often on the leader of `term`.
    [[nodiscard]] std::vector<rollout_judges::decision>
    judge_rollouts(std::uint64_t term);
    // Of the roll-outs that this process judges and that the state has running.
    [[nodiscard]] std::vector<rollout_standing> rollout_standings() const;
    // Returns those whose step has changed since the last call.
    [[nodiscard]] std::vector<rollout_standing> take_rollout_steps()
    {
        return judges_.take_steps();
    }
    // Returns the version of most of the service's listed targets other than
    // `target_version`; empty if there is no such target, nullopt without a listing.
    [[nodiscard]] std::optional<std::string>
    listed_version(const base::service_id& service,
                   const std::string& target_version) const;
    // This process no longer leads; its last reading is dropped.
    void drop_listing() { listing_.reset(); }
    // Sends what fronts still lack, as far as the rate allows; call it often.
    void send_due();
    // Closes silent sessions; call it now and then.
    void close_silent();

    [[nodiscard]] std::size_t size() const { return sessions_.size(); }
    // Sessions for which a state or list waits.
    [[nodiscard]] std::size_t waiting() const;
    // Since this process's last reading of the list began; -1 ms without one.
    [[nodiscard]] base::duration listing_age() const
    {
        return listing_ ? clock_.now() - listing_->read_at : base::duration(-1);
    }
    // The teams with a limit, on the leader.
    [[nodiscard]] std::vector<team_standing> team_standings() const
    {
        return accounts_.standings(clock_.now());
    }

private:
    // Names one list: the reader's term and its count.
    struct listing_number
    {
        std::uint64_t term = 0;
        std::uint64_t sequence = 0;

        bool operator==(const listing_number&) const = default;
    };
    struct front_session
    {
        std::unique_ptr<consensus::peer_session> session;
        std::string name;
        base::zone_id zone;
        // Of the bytes that the session received, those that are counted.
        std::uint64_t counted_bytes = 0;
        // Nothing if the front takes no gather requests.
        std::optional<deployment::gatherer> gatherer;
        base::instant since;
        base::instant last_report;
        // How long it may go without another report.
        base::duration report_limit = front_sessions::report_limit;
        bool stopping = false;
        // The newest state that was sent over this session, which loses nothing, and
        // the one that the front holds by its last report.
        base::log_index state_sent;
        base::log_index state_held;
        // Since when its reports lack the newest state.
        base::instant lacks_since = base::instant::max();
        bool observes = false;
        // What waits for the rate, or until the front has read what was sent before.
        bool wants_state = false;
        bool wants_listing = false;
        // The list that was sent last, and when.
        listing_number listing_sent;
        base::instant listing_sent_at;

        [[nodiscard]] bool has_wishes() const { return wants_state || wants_listing; }
    };
    struct listing
    {
        listing_number number;
        base::instant read_at;
        std::vector<deployment::listed_target> targets;
        // The whole list as it is sent, once somebody has needed it, and when it was
        // packed: it has 100 KB for a thousand targets.
        std::vector<std::uint8_t> packed;
        base::instant packed_at;
    };

    // Sends a frame over a session and counts it.
    void send_frame(front_session& to, base::traffic_cause cause,
                    std::vector<std::uint8_t> frame);
    void count_received(front_session& from);
    void on_message(std::uint64_t number, const wire::envelope& message);
    void on_report(front_session& from, const wire::front_report& report);
    // Takes over what a front admitted of each team, and tells it what fits.
    void add_team_shares(wire::core_report_message& answer,
                         const wire::front_report& report, base::instant now);
    // Takes over a front's answers by version, and names the shares of roll-outs.
    void add_rollout_shares(wire::core_report_message& answer, const front_session& from,
                            const wire::front_report& report, base::instant now);
    // Takes over what a front has seen of each zone, and names what its zone gives away.
    void add_zone_share(wire::core_report_message& answer, const front_session& from,
                        const wire::front_report& report, base::instant now);
    // Forgets what an earlier term of this process as the leader left behind.
    void follow_term(std::uint64_t term, base::instant now);
    // Names the targets that do badly in an answer to a report that lacks them.
    // Names the gatherers in an answer to a report that lacks the newest choice.
    void add_gatherers(wire::core_report_message& answer,
                       const wire::front_report& report, base::instant now);
    void add_suspects(wire::core_report_message& answer, const wire::front_report& report,
                      base::instant now);
    // Whether this member sends a new state to this front at once.
    [[nodiscard]] bool serves(const front_session& one, const core_view& view);
    [[nodiscard]] bool may_send_state(const front_session& to,
                                      const wire::front_report& report,
                                      const core_view& view, base::instant now);
    // Takes over the fronts without any state that were left to the leader while too few
    // were known to be shared among the members.
    void take_over_fronts();
    [[nodiscard]] bool is_on_its_way(const front_session& to, base::instant now) const;
    // Sends what the session waits for, as far as the rate allows, and nothing while
    // earlier bytes wait: a front behind a full link would get every state of a series.
    void send_wanted(front_session& to, base::instant now);
    void send_state(front_session& to, base::instant now);
    // Whether this process leads in the term for which it read the newest list.
    [[nodiscard]] bool may_send_listing(const core_view& view) const
    {
        return listing_ && view.leader && view.term == listing_->number.term;
    }
    // A frame with these targets of the newest list.
    [[nodiscard]] std::vector<std::uint8_t>
    listing_frame(const deployment::listing_change& change, std::uint64_t base) const;
    void send_whole_listing(front_session& to, base::instant now);
    // One line when the rate begins to delay sends, and one when it no longer does.
    void log_pacing(bool used_up, base::instant now);
    // Tells every front that a later reading named the same targets.
    void confirm_listing();
    [[nodiscard]] std::size_t live_fronts();

    const deployment::deployment_state& state_;
    // Null while nobody counts.
    base::zone_traffic* traffic_ = nullptr;
    view_source view_;
    base::monotonic_clock clock_;
    base::logger log_{"sessions"};
    std::map<std::uint64_t, front_session> sessions_;
    std::uint64_t last_session_ = 0;
    // The live fronts, when they were counted, and whether a session came or went since.
    std::size_t fronts_ = 0;
    base::instant fronts_counted_;
    bool fronts_changed_ = true;
    // Whether there were enough fronts to be shared among the members at the last look.
    bool shares_fronts_ = false;
    // The session to which send_due() sent last.
    std::uint64_t last_served_ = 0;
    send_allowance allowance_;
    base::instant paced_since_ = base::instant::max();
    // The newest state as it was sent last.
    std::vector<std::uint8_t> state_frame_;
    base::log_index state_frame_of_;
    std::optional<listing> listing_;
    std::uint64_t last_sequence_ = 0;
    // On the leader.
    std::size_t gather_from_fronts_;
    // Of `led_term_`, the term in which this process led last.
    gatherer_choice gatherers_;
    rollout_judges judges_;
    zone_loads zones_;
    base::instant zones_at_;
    std::uint64_t led_term_ = 0;
    base::instant led_since_;
    base::instant gatherers_at_;
    suspect_targets suspects_;
    // Starts at a random number, so that it is not that of an earlier leader.
    suspect_names suspect_names_;
    base::instant suspects_at_;
    team_accounts accounts_;
    std::vector<deployment::team_share> shares_;
    base::instant shares_at_;
    // The last confirmation of this process as the leader of `led_term_`.
    struct confirmation
    {
        base::log_index index;
        base::instant at;
    };
    std::optional<confirmation> confirmed_;
};

} // namespace curranthoist::cored
