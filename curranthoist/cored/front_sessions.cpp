#include "curranthoist/cored/front_sessions.hpp"

#include "curranthoist/wire/packed_text.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>
#include <set>
#include <utility>

namespace curranthoist::cored {

namespace {

constexpr double permille = 1000.0;

// Names a set of members; the same on each process. Never 0.
std::uint64_t number_of(std::span<const std::string> members)
{
    std::size_t number = 1;
    for (const std::string& one : members) {
        number = std::hash<std::string>()(std::to_string(number) + one);
    }
    return number;
}
// The part of the link that states and lists may fill; the rest is for the replicated
// log, its heartbeats, and the front process on the same VM.
constexpr double link_part = 0.5;
// A shorter message gains little from being packed.
constexpr std::size_t min_packed_bytes = 512;

std::uint32_t permille_of(double share)
{
    return static_cast<std::uint32_t>(std::lround(share * permille));
}

std::vector<deployment::target_sample> samples_of(const wire::front_report& report)
{
    std::vector<deployment::target_sample> samples;
    if (report.samples() != nullptr) {
        for (const wire::target_sample* one : *report.samples()) {
            if (one->id() != nullptr) {
                samples.push_back({base::target_id(one->id()->str()), one->answers(),
                                   std::min(one->bad(), one->answers())});
            }
        }
    }
    return samples;
}

} // namespace

front_sessions::front_sessions(const deployment::deployment_state& state,
                               double link_bytes_per_s, view_source view,
                               std::size_t gather_from_fronts, double team_limit_slack,
                               rollout_judge::options rollouts)
    : state_(state)
    , view_(std::move(view))
    , allowance_(link_bytes_per_s * link_part)
    , gather_from_fronts_(gather_from_fronts)
    , gatherers_(gather_from_fronts, std::random_device()(), clock_.now())
    , judges_(rollouts)
    , suspect_names_(std::random_device()())
    , accounts_(team_limit_slack)
{}

void front_sessions::on_session(std::unique_ptr<consensus::peer_session> session,
                                const wire::hello& hello)
{
    const std::uint64_t number = ++last_session_;
    session->set_handlers(
        [this, number](const wire::envelope& message) { on_message(number, message); },
        [this, number](const std::string& reason) {
            const auto found = sessions_.find(number);
            if (found != sessions_.end()) {
                log_.info("event=session_closed vm=" + found->second.name + " reason=\"" +
                          reason + "\"");
                sessions_.erase(found);
                fronts_changed_ = true;
            }
        });
    front_session& added = sessions_[number];
    added.session = std::move(session);
    added.name = hello.id()->str();
    added.zone = base::zone_id(hello.zone() == nullptr ? "" : hello.zone()->str());
    added.since = clock_.now();
    added.last_report = added.since;
    const auto address = base::endpoint::parse(
        hello.gather_address() == nullptr ? "" : hello.gather_address()->str());
    if (address) {
        added.gatherer = {base::vm_id(added.name), added.zone, *address};
    }
    fronts_changed_ = true;
    log_.info("event=session_opened vm=" + added.name);
}

void front_sessions::send_frame(front_session& to, base::traffic_cause cause,
                                std::vector<std::uint8_t> frame)
{
    if (traffic_ != nullptr && !to.zone.empty()) {
        base::traffic_count& count = traffic_->with(cause, to.zone);
        count.sent_bytes += frame.size();
        ++count.messages;
    }
    to.session->send_frame(std::move(frame));
}

void front_sessions::count_received(front_session& from)
{
    const std::uint64_t received = from.session->bytes_received();
    if (traffic_ != nullptr && !from.zone.empty()) {
        traffic_->with(base::traffic_cause::reports, from.zone).received_bytes +=
            received - from.counted_bytes;
    }
    from.counted_bytes = received;
}

void front_sessions::on_message(std::uint64_t number, const wire::envelope& message)
{
    const auto found = sessions_.find(number);
    if (found == sessions_.end()) {
        return;
    }
    count_received(found->second);
    if (const wire::front_report* report = message.body_as_front_report()) {
        on_report(found->second, *report);
        return;
    }
    log_.warn("event=session_closed vm=" + found->second.name +
              " reason=\"unexpected message\"");
    sessions_.erase(found);
    fronts_changed_ = true;
}

void front_sessions::on_report(front_session& from, const wire::front_report& report)
{
    const base::instant now = clock_.now();
    const core_view view = view_();
    from.last_report = now;
    from.report_limit =
        report.hears_leader() && !view.leader ? rare_report_limit : report_limit;
    fronts_changed_ = fronts_changed_ || from.observes != report.observes();
    from.observes = report.observes();
    from.stopping = report.stopping();
    from.state_held = base::log_index(report.state_index());
    const bool lacks_state = !from.observes && from.state_held < state_.changed_at();
    if (!lacks_state) {
        from.lacks_since = base::instant::max();
    }
    else if (from.lacks_since == base::instant::max()) {
        from.lacks_since = now;
    }
    // The others leave a front first to the member that serves it, or it would get the
    // same state from each.
    from.wants_state = lacks_state && may_send_state(from, report, view, now);
    const listing_number held{report.listing_term(), report.listing_sequence()};
    from.wants_listing = may_send_listing(view) && !from.observes &&
                         held != listing_->number && !is_on_its_way(from, now);
    send_wanted(from, now);
    wire::core_report_message answer;
    answer.sequence = report.sequence();
    answer.leader = view.leader;
    answer.term = view.term;
    answer.fronts = static_cast<std::uint32_t>(live_fronts());
    answer.members_number = number_of(view.members);
    if (report.members_number() != answer.members_number) {
        answer.members = view.members;
    }
    if (view.leader) {
        suspects_.add(samples_of(report), now);
        add_suspects(answer, report, now);
        follow_term(view.term, now);
        add_gatherers(answer, report, now);
        add_team_shares(answer, report, now);
        add_rollout_shares(answer, from, report, now);
        add_zone_share(answer, from, report, now);
        if (confirmed_) {
            answer.confirmed_index = confirmed_->index.value();
            answer.confirmed_age_ms =
                static_cast<std::uint64_t>((now - confirmed_->at).count());
        }
    }
    send_frame(from, base::traffic_cause::reports, wire::encode_frame(std::move(answer)));
}

void front_sessions::follow_term(std::uint64_t term, base::instant now)
{
    if (led_term_ != term) {
        led_term_ = term;
        led_since_ = now;
        gatherers_ = gatherer_choice(gather_from_fronts_, std::random_device()(), now);
        judges_.clear();
        zones_.clear();
        suspects_ = suspect_targets();
        shares_.clear();
        shares_at_ = base::instant();
        confirmed_.reset();
    }
}

void front_sessions::confirm(std::uint64_t term, base::log_index index, base::instant at)
{
    follow_term(term, clock_.now());
    confirmed_ = {index, at};
}

std::vector<rollout_judges::decision> front_sessions::judge_rollouts(std::uint64_t term)
{
    const base::instant now = clock_.now();
    follow_term(term, now);
    judges_.set_rollouts(state_.rollouts(), now, base::wall_clock().now());
    judges_.update(now);
    return judges_.take_decisions(now);
}

std::vector<rollout_standing> front_sessions::rollout_standings() const
{
    std::vector<rollout_standing> result = judges_.standings();
    // The judges learn of an end only with the next judgement.
    std::erase_if(result, [this](const rollout_standing& one) {
        const auto stored = state_.rollouts().find(base::service_id(one.service));
        return stored == state_.rollouts().end() ||
               stored->second.phase != deployment::rollout_phase::running;
    });
    return result;
}

std::optional<std::string>
front_sessions::listed_version(const base::service_id& service,
                               const std::string& target_version) const
{
    if (!listing_) {
        return std::nullopt;
    }
    std::map<std::string, std::size_t> counts;
    for (const deployment::listed_target& one : listing_->targets) {
        if (one.service == service && one.version != target_version) {
            ++counts[one.version];
        }
    }
    const auto most =
        std::max_element(counts.begin(), counts.end(), [](const auto& a, const auto& b) {
            return a.second < b.second;
        });
    return most == counts.end() ? std::string() : most->first;
}

void front_sessions::add_rollout_shares(wire::core_report_message& answer,
                                        const front_session& from,
                                        const wire::front_report& report,
                                        base::instant now)
{
    if (report.answers_by_version() != nullptr) {
        std::vector<deployment::version_answers> answers;
        for (const wire::version_answers* one : *report.answers_by_version()) {
            if (one->service() != nullptr && one->version() != nullptr) {
                answers.push_back({base::service_id(one->service()->str()),
                                   one->version()->str(), one->answers(), one->bad(),
                                   one->open()});
            }
        }
        judges_.add(from.name, answers, now);
        judges_.update(now);
    }
    if (!confirmed_ || now - confirmed_->at > confirmation_limit) {
        return;
    }
    constexpr double per_10000 = 10'000.0;
    std::vector<deployment::rollout_share> shares = judges_.shares();
    if (from.state_held < state_.changed_at()) {
        // To this front a completed roll-out still runs. Without a share it would send to
        // the old targets, which have stopped.
        for (const auto& [service, one] : state_.rollouts()) {
            if (one.phase == deployment::rollout_phase::completed) {
                shares.push_back({service, one.target_version, 1.0});
            }
        }
    }
    for (const deployment::rollout_share& share : shares) {
        auto entry = std::make_unique<wire::rollout_share_message>();
        entry->service = share.service.str();
        entry->target_version = share.target_version;
        entry->share_per_10000 = static_cast<std::uint32_t>(share.share * per_10000);
        answer.rollout_shares.push_back(std::move(entry));
    }
}

void front_sessions::add_team_shares(wire::core_report_message& answer,
                                     const wire::front_report& report, base::instant now)
{
    if (report.team_uses() != nullptr) {
        std::vector<deployment::team_use> uses;
        for (const wire::team_use* use : *report.team_uses()) {
            if (use->team() != nullptr) {
                uses.push_back({use->team()->str(), use->arrived(), use->admitted()});
            }
        }
        accounts_.add(uses, now);
    }
    if (now - shares_at_ >= shares_interval) {
        shares_at_ = now;
        auto shares = accounts_.shares(now);
        if (shares.size() != shares_.size()) {
            log_.info(
                "event=team_shares_changed limited=" + std::to_string(shares.size()) +
                (shares.empty() ? ""
                                : " first=" + shares.front().team + " permille=" +
                                      std::to_string(static_cast<int>(
                                          shares.front().admitted_part * permille))));
        }
        shares_ = std::move(shares);
    }
    for (const deployment::team_share& share : shares_) {
        auto entry = std::make_unique<wire::team_share_message>();
        entry->team = share.team;
        entry->admitted_permille =
            static_cast<std::uint32_t>(share.admitted_part * permille);
        entry->wait_ms = static_cast<std::uint64_t>(share.wait.count());
        answer.team_shares.push_back(std::move(entry));
    }
}

void front_sessions::add_zone_share(wire::core_report_message& answer,
                                    const front_session& from,
                                    const wire::front_report& report, base::instant now)
{
    if (from.observes || from.zone.empty()) {
        return;
    }
    std::vector<deployment::zone_answers> answers;
    if (report.answers_by_zone() != nullptr) {
        for (const wire::zone_answers* one : *report.answers_by_zone()) {
            if (one->zone() != nullptr) {
                answers.push_back({base::zone_id(one->zone()->str()), one->successes(),
                                   one->time_ms()});
            }
        }
    }
    zones_.add(from.name, from.zone, base::duration(report.zone_cost_ms()), answers, now);
    if (now - zones_at_ >= zones_interval) {
        zones_at_ = now;
        for (const zone_loads::change& one : zones_.update(now)) {
            log_.info(
                "event=zone_share_changed zone=" + one.share.from.str() +
                " to=" + one.share.to.str() +
                " permille=" + std::to_string(permille_of(one.share.share)) +
                " before_permille=" + std::to_string(permille_of(one.before)) +
                " wait_ms=" + std::to_string(std::lround(one.wait_ms)) +
                " other_wait_ms=" + std::to_string(std::lround(one.other_wait_ms)) +
                " other_usual_ms=" + std::to_string(std::lround(one.other_usual_ms)) +
                " cost_ms=" + std::to_string(std::lround(one.cost_ms)));
        }
    }
    if (const auto share = zones_.share_of(from.zone)) {
        answer.given_share = std::make_unique<wire::zone_share_message>();
        answer.given_share->from = share->from.str();
        answer.given_share->to = share->to.str();
        answer.given_share->permille = permille_of(share->share);
    }
}

void front_sessions::add_suspects(wire::core_report_message& answer,
                                  const wire::front_report& report, base::instant now)
{
    if (now - suspects_at_ >= suspects_interval) {
        suspects_at_ = now;
        std::vector<std::string> names;
        for (const base::target_id& id : suspects_.at(now)) {
            names.push_back(id.str());
        }
        suspect_names_.set(std::move(names));
    }
    answer.suspects_number = suspect_names_.number();
    if (report.suspects_number() == suspect_names_.number()) {
        return;
    }
    if (!report.takes_suspect_changes()) {
        answer.suspects = suspect_names_.names();
        return;
    }
    suspect_names::change change = suspect_names_.since(report.suspects_number());
    answer.suspects_base = change.is_whole ? 0 : report.suspects_number();
    answer.suspects = std::move(change.added);
    answer.suspects_removed = std::move(change.removed);
}

void front_sessions::add_gatherers(wire::core_report_message& answer,
                                   const wire::front_report& report, base::instant now)
{
    if (now - gatherers_at_ >= gatherers_interval) {
        gatherers_at_ = now;
        // A front with several sessions counts by the one that reported last.
        std::map<std::string_view, const front_session*> newest;
        for (const auto& [number, one] : sessions_) {
            if (one.gatherer) {
                const front_session*& known = newest[one.name];
                known = known == nullptr || known->last_report < one.last_report ? &one
                                                                                 : known;
            }
        }
        std::vector<gatherer_choice::candidate> candidates;
        candidates.reserve(newest.size());
        for (const auto& [name, one] : newest) {
            candidates.push_back(
                {*one->gatherer, one->since, one->last_report, one->stopping});
        }
        const std::uint64_t before = gatherers_.number();
        gatherers_.update(candidates, now);
        if (gatherers_.number() != before) {
            log_.info(
                "event=gatherers_chosen number=" + std::to_string(gatherers_.number()) +
                " gatherers=" + std::to_string(gatherers_.chosen().size()) +
                " fronts=" + std::to_string(candidates.size()));
        }
    }
    if (!gatherers_.has_chosen()) {
        answer.gatherers_number = report.gatherers_number();
        return;
    }
    answer.gatherers_number = gatherers_.number();
    if (report.gatherers_number() != gatherers_.number()) {
        for (const deployment::gatherer& one : gatherers_.chosen()) {
            auto entry = std::make_unique<wire::gatherer_message>();
            entry->name = one.name.str();
            entry->zone = one.zone.str();
            entry->address = one.address.str();
            answer.gatherers.push_back(std::move(entry));
        }
    }
}

bool front_sessions::serves(const front_session& one, const core_view& view)
{
    if (live_fronts() <= max_direct_fronts || view.members.empty()) {
        return view.leader;
    }
    // Members that disagree about it, while their number changes, leave a front to those
    // that see it lack the state.
    const std::size_t place = std::hash<std::string>()(one.name) % view.members.size();
    return view.members[place] == view.self;
}

bool front_sessions::may_send_state(const front_session& to,
                                    const wire::front_report& report,
                                    const core_view& view, base::instant now)
{
    const base::duration lacking = now - to.lacks_since;
    if (serves(to, view)) {
        return true;
    }
    if (view.leader) {
        return lacking >= leader_limit;
    }
    return lacking >= follower_limit ||
           (!report.hears_leader() && lacking >= follower_delay);
}

bool front_sessions::is_on_its_way(const front_session& to, base::instant now) const
{
    return to.listing_sent == listing_->number &&
           (now - to.listing_sent_at < listing_delay || to.session->queued_bytes() > 0);
}

void front_sessions::send_wanted(front_session& to, base::instant now)
{
    if (to.session->queued_bytes() > 0) {
        return;
    }
    if (to.wants_state) {
        send_state(to, now);
    }
    if (to.wants_listing) {
        send_whole_listing(to, now);
    }
}

void front_sessions::send_state(front_session& to, base::instant now)
{
    const base::log_index newest = state_.changed_at();
    if (std::max(to.state_sent, to.state_held) >= newest) {
        to.wants_state = false;
        return;
    }
    if (state_frame_of_ != newest) {
        state_frame_ = wire::encode_frame(state_.message());
        state_frame_of_ = newest;
    }
    if (allowance_.take(state_frame_.size(), now)) {
        send_frame(to, base::traffic_cause::states, state_frame_);
        to.state_sent = newest;
        to.wants_state = false;
    }
}

void front_sessions::on_state_change()
{
    if (state_.changed_at() == base::log_index()) {
        return;
    }
    const core_view view = view_();
    for (auto& [number, one] : sessions_) {
        const bool served = !one.observes && serves(one, view);
        one.wants_state = one.wants_state || served;
    }
    send_due();
}

void front_sessions::take_over_fronts()
{
    const bool shared = live_fronts() > max_direct_fronts;
    if (std::exchange(shares_fronts_, shared) == shared || !shared ||
        state_.changed_at() == base::log_index()) {
        return;
    }
    // Fronts report rarely to a member that does not lead, so that their next reports
    // would come too late.
    const core_view view = view_();
    std::size_t taken = 0;
    for (auto& [number, one] : sessions_) {
        if (!one.observes && one.state_held == base::log_index() && serves(one, view)) {
            one.wants_state = true;
            ++taken;
        }
    }
    log_.info("event=fronts_taken_over fronts=" + std::to_string(taken) +
              " known=" + std::to_string(fronts_));
}

std::vector<std::uint8_t>
front_sessions::listing_frame(const deployment::listing_change& change,
                              std::uint64_t base) const
{
    wire::target_listing_message message;
    message.term = listing_->number.term;
    message.sequence = listing_->number.sequence;
    message.base = base;
    message.state_index = state_.changed_at().value();
    message.age_ms =
        static_cast<std::uint64_t>((clock_.now() - listing_->read_at).count());
    for (const deployment::listed_target& one : change.targets) {
        auto entry = std::make_unique<wire::listed_target_message>();
        entry->id = one.id.str();
        entry->service = one.service.str();
        entry->zone = one.zone.str();
        entry->address = one.address.str();
        entry->draining = one.draining;
        entry->cold_ms = static_cast<std::uint64_t>(one.remaining_cold_time.count());
        entry->version = one.version;
        message.targets.push_back(std::move(entry));
    }
    for (const base::target_id& id : change.removed) {
        message.removed.push_back(id.str());
    }
    return wire::encode_frame(std::move(message));
}

void front_sessions::send_whole_listing(front_session& to, base::instant now)
{
    if (!may_send_listing(view_())) {
        to.wants_listing = false;
        return;
    }
    if (listing_->packed.empty()) {
        listing_->packed =
            wire::pack_envelope(listing_frame({.targets = listing_->targets}, 0));
        listing_->packed_at = now;
    }
    if (!allowance_.take(listing_->packed.size(), now)) {
        return;
    }
    wire::packed_envelope_message message;
    message.data = listing_->packed;
    message.age_ms = static_cast<std::uint64_t>((now - listing_->packed_at).count());
    send_frame(to, base::traffic_cause::lists, wire::encode_frame(std::move(message)));
    to.listing_sent = listing_->number;
    to.listing_sent_at = now;
    to.wants_listing = false;
}

void front_sessions::on_listing(std::uint64_t term,
                                std::vector<deployment::listed_target> targets,
                                base::instant read_at)
{
    std::sort(targets.begin(), targets.end(),
              [](const auto& a, const auto& b) { return a.id < b.id; });
    const base::instant now = clock_.now();
    deployment::listing_change change;
    listing_number before;
    if (listing_ && listing_->number.term == term) {
        change = deployment::diff_listings(listing_->targets, targets,
                                           read_at - listing_->read_at);
        before = listing_->number;
    }
    if (!change.complete && change.targets.empty() && change.removed.empty()) {
        listing_->read_at = read_at;
        listing_->targets = std::move(targets);
        listing_->packed.clear();
        confirm_listing();
        return;
    }
    log_.info("event=listing_changed term=" + std::to_string(term) +
              " sequence=" + std::to_string(last_sequence_ + 1) +
              " targets=" + std::to_string(targets.size()) +
              " changed=" + std::to_string(change.targets.size()) +
              " removed=" + std::to_string(change.removed.size()));
    listing_ = listing{{term, ++last_sequence_}, read_at, std::move(targets), {}, {}};
    auto frame = listing_frame(change, before.sequence);
    if (frame.size() >= min_packed_bytes) {
        wire::packed_envelope_message packed;
        packed.data = wire::pack_envelope(frame);
        frame = wire::encode_frame(std::move(packed));
    }
    for (auto& [number, one] : sessions_) {
        const bool has_base = !change.complete && one.listing_sent == before;
        if (!one.observes && has_base && allowance_.take(frame.size(), now)) {
            send_frame(one, base::traffic_cause::lists, frame);
            one.listing_sent = listing_->number;
            one.listing_sent_at = now;
        }
        else {
            one.wants_listing = !one.observes;
        }
    }
    send_due();
}

void front_sessions::send_due()
{
    take_over_fronts();
    // Begins after the session that was served last, or the first ones would get
    // everything before the last ones get anything.
    const base::instant now = clock_.now();
    bool used_up = false;
    auto next = sessions_.upper_bound(last_served_);
    for (std::size_t i = 0; i < sessions_.size() && !used_up; ++i, ++next) {
        if (next == sessions_.end()) {
            next = sessions_.begin();
        }
        front_session& one = next->second;
        if (!one.has_wishes() || one.session->queued_bytes() > 0) {
            continue;
        }
        send_wanted(one, now);
        used_up = one.has_wishes();
        if (!used_up) {
            last_served_ = next->first;
        }
    }
    log_pacing(used_up, now);
}

std::size_t front_sessions::waiting() const
{
    return static_cast<std::size_t>(
        std::count_if(sessions_.begin(), sessions_.end(),
                      [](const auto& one) { return one.second.has_wishes(); }));
}

void front_sessions::log_pacing(bool used_up, base::instant now)
{
    const bool paced = paced_since_ != base::instant::max();
    if (used_up && !paced) {
        paced_since_ = now;
        log_.info("event=sends_paced waiting=" + std::to_string(waiting()) +
                  " sessions=" + std::to_string(sessions_.size()));
    }
    else if (!used_up && paced) {
        log_.info("event=sends_caught_up took_ms=" +
                  std::to_string((now - paced_since_).count()));
        paced_since_ = base::instant::max();
    }
}

void front_sessions::confirm_listing()
{
    wire::target_listing_check_message check;
    check.term = listing_->number.term;
    check.sequence = listing_->number.sequence;
    check.age_ms = static_cast<std::uint64_t>((clock_.now() - listing_->read_at).count());
    const auto frame = wire::encode_frame(check);
    for (auto& [number, one] : sessions_) {
        if (!one.observes) {
            send_frame(one, base::traffic_cause::lists, frame);
        }
    }
}

std::size_t front_sessions::live_fronts()
{
    const base::instant now = clock_.now();
    if (!fronts_changed_ && now - fronts_counted_ < count_interval) {
        return fronts_;
    }
    const core_view view = view_();
    const bool has_led_long =
        view.leader && view.term == led_term_ && now - led_since_ >= report_limit;
    std::set<std::string_view> names;
    for (const auto& [number, one] : sessions_) {
        const base::duration limit = has_led_long ? report_limit : one.report_limit;
        if (!one.observes && now - one.last_report < limit) {
            names.insert(one.name);
        }
    }
    fronts_ = names.size();
    fronts_counted_ = now;
    fronts_changed_ = false;
    return fronts_;
}

void front_sessions::close_silent()
{
    const base::instant now = clock_.now();
    std::erase_if(sessions_, [&](const auto& one) {
        const bool silent = now - one.second.last_report > one.second.report_limit * 2;
        if (silent) {
            log_.info("event=session_closed vm=" + one.second.name +
                      " reason=\"no report\"");
        }
        return silent;
    });
    fronts_changed_ = true;
}

} // namespace curranthoist::cored
