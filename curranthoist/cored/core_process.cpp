#include "curranthoist/cored/core_process.hpp"

#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/base/wall_clock.hpp"
#include "curranthoist/consensus/membership.hpp"
#include "curranthoist/cored/front_port_limits.hpp"
#include "curranthoist/cored/operator_server_options.hpp"
#include "curranthoist/cored/rollout_metrics.hpp"
#include "curranthoist/cored/team_metrics.hpp"
#include "curranthoist/platform/configuration_document.hpp"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <random>
#include <utility>

namespace curranthoist::cored {

namespace {

constexpr double tick_s = 0.1;
// One quorum round in this time serves the leases of all fronts.
constexpr base::duration confirm_interval{200};
// Without a leader or a vote for this time, it asks to be taken in. Elections take less.
constexpr base::duration join_after{1500};
// After all processes were killed, observers wait for this.
constexpr base::duration announce_interval{500};
// Addresses of former members may be gone for good. Short enough for one that comes back
// to have its place within the platform's time to catch up.
constexpr base::duration former_announce_interval{1000};
// Leadership is handed over within this time, or the process stops without.
constexpr base::duration handover_limit{1000};
constexpr double handover_poll_s = 0.02;
// The log of a deployment is short, but each configuration is kept in it as a whole.
constexpr std::uint64_t entries_per_snapshot = 64;
constexpr std::uint64_t retained_entries = 32;
// A new voter that lacks the change which made it one can't vote, so it must have the
// whole log before.
constexpr std::uint64_t max_promotion_lag = 0;
// After all members were killed at once, service waits for this.
constexpr base::duration first_election_timeout{300};

std::string created(const std::string& folder)
{
    if (folder.empty()) {
        base::findings found;
        found.add("settings", "a core process needs a data folder");
        throw base::findings_error(found);
    }
    std::filesystem::create_directories(folder);
    return folder;
}

constexpr double evidence_scale = 100.0;

std::string counts_text(const std::string& prefix, const rollout_judge::counts& counts)
{
    return " " + prefix + "answers=" + std::to_string(counts.answers) + " " + prefix +
           "bad=" + std::to_string(counts.bad);
}

std::string random_suffix()
{
    std::random_device source;
    return std::to_string(source()) + "-" + std::to_string(source());
}

} // namespace

bool core_process::has_identity(const platform::node_settings& settings)
{
    return std::filesystem::exists(
        std::filesystem::path(settings.data_folder) /
        storage::log_store<storage::posix_disk>::identity_file());
}

storage::posix_disk& core_process::prepare(storage::posix_disk& disk,
                                           const platform::node_settings& settings,
                                           const base::endpoint& founder)
{
    using store_type = storage::log_store<storage::posix_disk>;
    if (has_identity(settings)) {
        return disk;
    }
    const base::logger log("core");
    const base::member_id id(settings.address + "-" + random_suffix());
    const base::endpoint own{settings.address, settings.first_internal_port};
    if (founder == own) {
        log.info("event=log_founded member=" + id.str());
        const std::vector<storage::log_entry> first{consensus::first_log_entry(
            consensus::membership({{id, own, consensus::member_role::voter}}))};
        store_type::initialise(disk, id, first);
    }
    else {
        log.info("event=identity_created member=" + id.str() +
                 " reason=\"the data folder is empty\"");
        store_type::initialise(disk, id, {});
    }
    return disk;
}

core_process::core_process(ev::loop_ref loop, platform::node_settings settings,
                           founder_choice& choice, base::endpoint founder)
    : loop_(loop)
    , settings_(std::move(settings))
    , founder_(std::move(founder))
    , disk_(created(settings_.data_folder))
    , store_(prepare(disk_, settings_, founder_))
    , traffic_(settings_.zone)
    , sessions_(state_, settings_.link_bytes_per_s, [this] { return view(); },
                settings_.gather_from_fronts, settings_.team_limit_slack,
                {settings_.exposure_share, settings_.exposure_slack})
    , state_change_(loop_,
                    [this] {
                        sessions_.on_state_change();
                        update_teams();
                    })
    , host_(loop_, store_, state_, host_options(),
            [this](std::unique_ptr<consensus::peer_session> session,
                   const wire::hello& hello) {
                sessions_.on_session(std::move(session), hello);
            })
    , requests_(host_, state_, keeper_, choice, own_peers(), founder_,
                settings_.operators->port,
                [this](const base::service_id& service, const std::string& version) {
                    return sessions_.listed_version(service, version);
                })
    , tick_(loop_)
    , stop_timer_(loop_)
{
    sessions_.count_traffic(traffic_);
    state_.set_change_handler([this] {
        log_.info(
            "event=state_changed index=" + std::to_string(state_.changed_at().value()) +
            " version=" + std::to_string(state_.version()) +
            " evacuated=" + std::to_string(state_.evacuated().size()));
        state_change_.request();
    });
    host_.set_leadership_handler([this](bool leads) { on_leadership(leads); });
    joiner_ = std::make_unique<join_client>(loop_, host_.status().self, own_peers());
    requests_.set_applicant_handler(
        [this](const base::endpoint& peers) { learn(peers); });
    if (settings_.list_address) {
        reader_ = std::make_unique<target_list_reader>(
            loop_, *settings_.list_address, settings_.list_calls_per_s,
            [this](base::term term, std::vector<deployment::listed_target> targets,
                   base::instant read_at) {
                on_list(term, std::move(targets), read_at);
            });
    }
    server_ = std::make_unique<http::caller_server>(
        loop_, operator_server_options(settings_),
        [this](const http::caller_request& request, const http::responder& answer) {
            requests_.answer(request, answer);
        });
    tick_.set<core_process, &core_process::on_tick>(this);
    tick_.start(tick_s, tick_s);
    stop_timer_.set<core_process, &core_process::on_stop_timer>(this);
    log_.info("event=started member=" + host_.status().self.str() +
              " vm=" + settings_.name + " operators=" + settings_.operators->str() +
              " peers=" + own_peers().str());
}

base::endpoint core_process::own_peers() const
{
    return {settings_.address, settings_.first_internal_port};
}

consensus::host_options core_process::host_options()
{
    consensus::host_options options;
    options.accepted = front_port_limits(settings_);
    // On the address where operators are served; others may reach it at another one.
    options.listen = {settings_.operators->address, settings_.first_internal_port};
    options.address = own_peers();
    options.on_dialed_by = [this](const base::endpoint& peers) { learn(peers); };
    options.zone = settings_.zone;
    options.incarnation =
        base::incarnation(static_cast<std::uint64_t>(base::wall_clock().now().count()));
    options.traffic = &traffic_;
    options.seed = std::random_device()();
    options.entries_per_snapshot = entries_per_snapshot;
    options.replica.retained_entries = retained_entries;
    options.replica.max_promotion_lag = max_promotion_lag;
    options.replica.first_election_timeout = first_election_timeout;
    return options;
}

front_sessions::core_view core_process::view() const
{
    const consensus::replica_status status = host_.status();
    front_sessions::core_view result;
    const auto led = host_.led_term();
    result.leader = led.has_value();
    result.term = led.value_or(host_.latest_leader_term()).value();
    for (const consensus::member& one : status.members.members()) {
        result.members.push_back(one.address.str());
    }
    std::sort(result.members.begin(), result.members.end());
    result.self = own_peers().str();
    return result;
}

void core_process::on_list(base::term term,
                           std::vector<deployment::listed_target> targets,
                           base::instant read_at)
{
    // After a freeze the last page may be read before the message of a new leader.
    if (host_.led_term() != term) {
        log_.info("event=listing_dropped term=" + std::to_string(term.value()) +
                  " current_term=" + std::to_string(host_.status().term.value()) +
                  " age_ms=" + std::to_string((clock_.now() - read_at).count()) +
                  " reason=\"this process may not act as the leader\"");
        return;
    }
    sessions_.on_listing(term.value(), std::move(targets), read_at);
}

void core_process::on_leadership(bool leads)
{
    const std::string term = std::to_string(host_.status().term.value());
    log_.info(std::string(leads ? "event=leadership_gained term="
                                : "event=leadership_lost term=") +
              term);
    if (leads) {
        // What was applied before it led was sent to nobody.
        sessions_.on_state_change();
        // Accounts of an earlier term lack what was admitted under other leaders.
        sessions_.set_teams({});
        teams_version_ = 0;
        update_teams();
    }
    if (!reader_) {
        return;
    }
    if (leads) {
        reader_->start(host_.status().term);
    }
    else {
        reader_->stop();
        sessions_.drop_listing();
    }
}

void core_process::update_teams()
{
    if (!host_.is_leader() || teams_version_ == state_.version()) {
        return;
    }
    teams_version_ = state_.version();
    try {
        sessions_.set_teams(platform::decode_teams(state_.document()));
    }
    catch (const base::findings_error& error) {
        log_.error("event=configuration_unreadable version=" +
                   std::to_string(teams_version_) + " findings=\"" + error.what() + "\"");
    }
}

bool core_process::has_running_rollout() const
{
    return std::any_of(state_.rollouts().begin(), state_.rollouts().end(),
                       [](const auto& one) {
                           return one.second.phase == deployment::rollout_phase::running;
                       });
}

void core_process::end_rollouts(base::term term)
{
    for (const rollout_judges::decision& one : sessions_.judge_rollouts(term.value())) {
        const std::string what =
            "service=" + one.order.service.str() +
            " version=" + one.order.target_version +
            (one.phase == deployment::rollout_phase::completed ? " phase=completed"
                                                               : " phase=rolled_back");
        log_.info("event=rollout_judged " + what + counts_text("", one.ordered) +
                  counts_text("old_", one.old) + " evidence_per_100=" +
                  std::to_string(std::llround(one.evidence * evidence_scale)));
        host_.propose(deployment::deployment_state::end_rollout(one.order, one.phase),
                      [this, what](consensus::proposal_outcome outcome, base::log_index) {
                          const bool applied =
                              outcome == consensus::proposal_outcome::applied;
                          log_.info("event=rollout_ended " + what +
                                    (applied ? " outcome=applied" : " outcome=unknown"));
                      });
    }
}

void core_process::log_rollout_steps()
{
    constexpr double percent = 100.0;
    for (const rollout_standing& one : sessions_.take_rollout_steps()) {
        log_.info("event=rollout_step service=" + one.service +
                  " version=" + one.target_version + " step=" + std::to_string(one.step) +
                  " of=" + std::to_string(one.plan.size()) +
                  " share_percent=" + std::to_string(std::llround(one.share * percent)) +
                  counts_text("", one.ordered) + counts_text("old_", one.old) +
                  " evidence_per_100=" +
                  std::to_string(std::llround(one.evidence * evidence_scale)) +
                  " left_ms=" + std::to_string(one.remaining.count()));
    }
}

void core_process::confirm_leadership(base::term term, base::instant now)
{
    const bool is_needed = settings_.revocation_limit || has_running_rollout();
    if (!is_needed || now - confirmed_at_ < confirm_interval) {
        return;
    }
    confirmed_at_ = now;
    host_.confirm_read([this, term, now](bool confirmed) {
        if (confirmed && host_.led_term() == term) {
            sessions_.confirm(term.value(), state_.changed_at(), now);
        }
    });
}

void core_process::on_tick(ev::timer& /*watcher*/, int /*events*/)
{
    const base::instant now = clock_.now();
    sessions_.close_silent();
    sessions_.send_due();
    if (const auto led = host_.led_term()) {
        update_teams();
        confirm_leadership(*led, now);
        end_rollouts(*led);
        log_rollout_steps();
        if (const auto change = keeper_.next_change(host_.status(), now)) {
            const std::string refused = host_.change_membership(*change);
            if (refused.empty()) {
                log_.info("event=membership_change kind=" +
                          std::to_string(static_cast<int>(change->kind)) + " member=" +
                          change->id.str() + " replaced=" + change->replaced.str());
            }
        }
    }
    former_members_.update(host_.status().members.members());
    join_if_needed(now);
}

void core_process::join_if_needed(base::instant now)
{
    const consensus::replica_status status = host_.status();
    const bool has_place = status.members.is_voter(status.self) && !status.leader.empty();
    if (has_place) {
        without_place_since_ = base::instant::max();
        joiner_->forget_learned();
        announce(status, now);
        return;
    }
    if (without_place_since_ == base::instant::max()) {
        without_place_since_ = now;
    }
    // A process that has never been a voter has nothing to wait for.
    if (status.members.is_voter(status.self) && now - without_place_since_ < join_after) {
        return;
    }
    std::set<base::endpoint> addresses(settings_.seeds.begin(), settings_.seeds.end());
    for (const consensus::member& one : status.members.members()) {
        addresses.insert(requests_.operators_of(one.address));
    }
    if (!founder_.address.empty()) {
        addresses.insert(requests_.operators_of(founder_));
    }
    addresses.insert(joiner_->learned().begin(), joiner_->learned().end());
    addresses.erase(*settings_.operators);
    joiner_->ask(addresses);
}

void core_process::learn(const base::endpoint& peers)
{
    const consensus::replica_status status = host_.status();
    // With a place, its own log names the members.
    if (!status.members.is_voter(status.self) || status.leader.empty()) {
        joiner_->learn(requests_.operators_of(peers));
    }
}

void core_process::announce(const consensus::replica_status& status, base::instant now)
{
    if (now - announced_ < announce_interval) {
        return;
    }
    announced_ = now;
    std::set<base::endpoint> addresses(settings_.seeds.begin(), settings_.seeds.end());
    for (const consensus::member& one : status.members.members()) {
        addresses.erase(requests_.operators_of(one.address));
    }
    if (host_.is_leader() && now - announced_to_former_ >= former_announce_interval) {
        announced_to_former_ = now;
        for (const base::endpoint& one : former_members_.addresses()) {
            addresses.insert(requests_.operators_of(one));
        }
    }
    joiner_->ask(addresses);
}

void core_process::reload(const platform::node_settings& settings)
{
    settings_.seeds = settings.seeds;
    log_.info("event=settings_reloaded seeds=" + std::to_string(settings_.seeds.size()));
}

void core_process::stop()
{
    log_.info("event=stopping");
    server_->announce_close();
    if (!host_.transfer_leadership()) {
        loop_.break_loop(ev::ALL);
        return;
    }
    stop_until_ = clock_.now() + handover_limit;
    stop_timer_.start(handover_poll_s, handover_poll_s);
}

void core_process::on_stop_timer(ev::timer& /*watcher*/, int /*events*/)
{
    // After it has asked its successor to stand, it no longer acts as the leader, but
    // stays until the successor is elected.
    const bool is_deposed = host_.status().role != consensus::replica_role::leader;
    if (is_deposed || clock_.now() >= stop_until_) {
        stop_timer_.stop();
        loop_.break_loop(ev::ALL);
    }
}

std::string core_process::metrics_text()
{
    const consensus::replica_status status = host_.status();
    const auto voters = std::count_if(
        status.members.members().begin(), status.members.members().end(),
        [](const auto& one) { return one.role == consensus::member_role::voter; });
    const auto set = [this](const char* name, const char* help, std::int64_t value) {
        requests_.metrics().gauge_named(name, help).set(value);
    };
    set("curranthoist_core_leads", "1 on the leader", host_.is_leader() ? 1 : 0);
    set("curranthoist_core_votes", "1 if this process is a voter that knows the leader",
        status.members.is_voter(status.self) && !status.leader.empty() ? 1 : 0);
    set("curranthoist_core_voters", "Voters, as this process knows them", voters);
    set("curranthoist_core_term", "Term of the replicated log",
        static_cast<std::int64_t>(status.term.value()));
    set("curranthoist_core_commit_index", "Last committed entry",
        static_cast<std::int64_t>(status.commit_index.value()));
    set("curranthoist_core_last_index", "Last entry of the log",
        static_cast<std::int64_t>(status.last_index.value()));
    set("curranthoist_configuration_version", "Newest version that is applied",
        static_cast<std::int64_t>(state_.version()));
    set("curranthoist_evacuated_zones", "Zones whose targets get nothing",
        static_cast<std::int64_t>(state_.evacuated().size()));
    set("curranthoist_core_sessions", "Sessions of fronts and observers",
        static_cast<std::int64_t>(sessions_.size()));
    set("curranthoist_core_waiting_sessions", "Sessions for which a state or list waits",
        static_cast<std::int64_t>(sessions_.waiting()));
    set("curranthoist_list_age_ms", "Since the last reading of the list by this process",
        sessions_.listing_age().count());
    traffic_.publish(requests_.metrics());
    std::string result = requests_.metrics().prometheus_text();
    // Other members have no accounts and judge no roll-outs.
    if (host_.is_leader()) {
        result += team_metrics(sessions_.team_standings());
        result += rollout_metrics(sessions_.rollout_standings());
    }
    return result;
}

} // namespace curranthoist::cored
