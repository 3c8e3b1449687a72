#include "curranthoist/coreclient/core_links.hpp"

#include "curranthoist/base/wall_clock.hpp"
#include "curranthoist/coreclient/leader_claim.hpp"
#include "curranthoist/deployment/rollout_codec.hpp"
#include "curranthoist/wire/packed_text.hpp"

#include <algorithm>
#include <span>
#include <utility>

namespace curranthoist::coreclient {

// What an answer to a report is compared with.
struct core_links::sent_report
{
    base::instant at;
    std::uint64_t suspects_number = 0;
    std::uint64_t gatherers_number = 0;
};

struct core_links::link
{
    base::endpoint address;
    base::instant last_report;
    bool responsive = false;
    // The reports that have no answer yet, by their sequences.
    std::map<std::uint64_t, sent_report> sent_reports;
    std::unique_ptr<wire::peer_dialer> dialer;
};

core_links::core_links(ev::loop_ref loop, base::vm_id self, base::zone_id zone,
                       std::vector<base::endpoint> seeds, handlers callbacks,
                       bool observes)
    : loop_(loop)
    , self_(std::move(self))
    , zone_(std::move(zone))
    , incarnation_(static_cast<std::uint64_t>(base::wall_clock().now().count()))
    , seeds_(std::move(seeds))
    , callbacks_(std::move(callbacks))
    , observes_(observes)
    , tick_(loop)
{
    tick_.set<core_links, &core_links::on_tick>(this);
    tick_.start(tick_interval.seconds(), tick_interval.seconds());
    dial_missing();
}

core_links::~core_links() = default;

wire::hello_message core_links::own_hello() const
{
    wire::hello_message hello;
    hello.protocol = wire::protocol_version;
    hello.sender = wire::role::entry;
    hello.id = self_.str();
    hello.zone = zone_.str();
    hello.incarnation = incarnation_.value();
    hello.gather_address = gather_address_;
    return hello;
}

void core_links::set_seeds(std::vector<base::endpoint> seeds)
{
    seeds_ = std::move(seeds);
    dial_missing();
}

void core_links::learn(const base::endpoint& member)
{
    unconfirmed_members_.insert(member);
    dial_missing();
}

std::size_t core_links::live_members() const
{
    return static_cast<std::size_t>(
        std::count_if(links_.begin(), links_.end(),
                      [](const auto& entry) { return entry.second->responsive; }));
}

bool core_links::leader_responds() const
{
    return !members_.empty() && leader_.responds(clock_.now());
}

bool core_links::is_leader(const link& peer) const
{
    return leader_responds() && peer.address == leader_.address();
}

std::optional<base::endpoint> core_links::leader() const
{
    return leader_responds() ? std::optional(leader_.address()) : std::nullopt;
}

void core_links::dial_missing()
{
    std::set<base::endpoint> wanted = members_;
    if (!leader_responds()) {
        wanted.insert(seeds_.begin(), seeds_.end());
        wanted.insert(unconfirmed_members_.begin(), unconfirmed_members_.end());
    }
    std::erase_if(links_, [&](const auto& entry) {
        return !wanted.contains(entry.first) && !entry.second->responsive;
    });
    for (const base::endpoint& address : wanted) {
        auto& slot = links_[address];
        if (slot) {
            continue;
        }
        slot = std::make_unique<link>();
        link& peer = *slot;
        peer.address = address;
        peer.dialer = std::make_unique<wire::peer_dialer>(
            loop_, address,
            [this, &peer] {
                peer.sent_reports.clear();
                peer.dialer->send(own_hello());
                send_report(peer);
            },
            [this, &peer](const wire::envelope& message) { on_message(peer, message); },
            [this, &peer](const std::string& reason) {
                if (peer.responsive) {
                    log_.warn("event=core_lost member=" + peer.address.str() +
                              " reason=\"" + reason + "\"");
                }
                peer.responsive = false;
            });
    }
}

void core_links::on_tick(ev::timer& /*watcher*/, int /*events*/)
{
    const base::instant now = clock_.now();
    dial_missing();
    drop_old_suspects();
    for (auto& [address, peer] : links_) {
        if (!peer->dialer->is_connected()) {
            continue;
        }
        const base::duration waited = peer->sent_reports.empty()
                                          ? base::duration()
                                          : now - peer->sent_reports.begin()->second.at;
        if (waited > answer_limit) {
            if (peer->responsive) {
                log_.warn(
                    "event=core_lost member=" + address.str() +
                    " reason=\"no response\" age_ms=" + std::to_string(waited.count()));
            }
            peer->responsive = false;
            peer->dialer->reconnect();
        }
        else if (now - peer->last_report >= report_interval_for(*peer) ||
                 is_report_wanted(*peer, now)) {
            send_report(*peer);
        }
    }
}

base::duration core_links::report_interval_for(const link& peer) const
{
    if (!leader_responds()) {
        return report_interval;
    }
    if (peer.address != leader_.address()) {
        return follower_report_interval;
    }
    return callbacks_.may_report_rarely && callbacks_.may_report_rarely()
               ? rare_report_interval
               : report_interval;
}

bool core_links::is_report_wanted(const link& peer, base::instant now) const
{
    if (!callbacks_.wanted_report_interval || !is_leader(peer)) {
        return false;
    }
    const auto wanted = callbacks_.wanted_report_interval();
    return wanted && now - peer.last_report >= *wanted - tick_interval / 2;
}

void core_links::send_report(link& peer)
{
    peer.last_report = clock_.now();
    wire::front_report_message report;
    report.sequence = ++sequence_;
    report.state_index = state_index_;
    const listing_number held = listing_.held_for(peer.address);
    report.listing_term = held.term.value();
    report.listing_sequence = held.sequence;
    report.observes = observes_;
    report.hears_leader = leader_responds();
    report.suspects_number = suspects_number_;
    report.takes_suspect_changes = true;
    report.gatherers_number = gatherers_number_;
    report.stopping = stopping_;
    report.members_number = members_number_;
    if (callbacks_.samples && is_leader(peer)) {
        for (const deployment::target_sample& sample : callbacks_.samples()) {
            auto entry = std::make_unique<wire::target_sample_message>();
            entry->id = sample.id.str();
            entry->answers = sample.answers;
            entry->bad = sample.bad;
            report.samples.push_back(std::move(entry));
        }
    }
    if (callbacks_.team_uses && is_leader(peer)) {
        for (const deployment::team_use& use : callbacks_.team_uses()) {
            auto entry = std::make_unique<wire::team_use_message>();
            entry->team = use.team;
            entry->arrived = use.arrived;
            entry->admitted = use.admitted;
            report.team_uses.push_back(std::move(entry));
        }
    }
    if (callbacks_.answers_by_version && is_leader(peer)) {
        for (const deployment::version_answers& one : callbacks_.answers_by_version()) {
            auto entry = std::make_unique<wire::version_answers_message>();
            entry->service = one.service.str();
            entry->version = one.version;
            entry->answers = one.answers;
            entry->bad = one.bad;
            entry->open = one.open;
            report.answers_by_version.push_back(std::move(entry));
        }
    }
    report.zone_cost_ms = static_cast<std::uint32_t>(callbacks_.zone_cost.count());
    if (callbacks_.answers_by_zone && is_leader(peer)) {
        add_zone_answers(report);
    }
    peer.sent_reports[report.sequence] = {peer.last_report, suspects_number_,
                                          gatherers_number_};
    peer.dialer->send(std::move(report));
}

void core_links::add_zone_answers(wire::front_report_message& report)
{
    for (const deployment::zone_answers& one : callbacks_.answers_by_zone()) {
        const auto [last, is_new] = reported_zones_.try_emplace(one.zone, one);
        if (!is_new && last->second == one) {
            continue;
        }
        last->second = one;
        auto entry = std::make_unique<wire::zone_answers_message>();
        entry->zone = one.zone.str();
        entry->successes = one.successes;
        entry->time_ms = one.time_ms;
        report.answers_by_zone.push_back(std::move(entry));
    }
}

void core_links::on_message(link& peer, const wire::envelope& message)
{
    if (const auto* report = message.body_as_core_report()) {
        on_core_report(peer, *report);
    }
    else if (const auto* snapshot = message.body_as_deployment_snapshot()) {
        on_snapshot(peer, *snapshot);
    }
    else if (const auto* listing = message.body_as_target_listing()) {
        on_listing(peer, *listing, base::duration());
    }
    else if (const auto* check = message.body_as_target_listing_check()) {
        on_target_listing_check(peer, *check);
    }
    else if (const auto* packed = message.body_as_packed_envelope()) {
        on_packed_envelope(peer, *packed);
    }
}

void core_links::on_packed_envelope(link& peer, const wire::packed_envelope& packed)
{
    const auto bytes =
        packed.data() == nullptr
            ? std::nullopt
            : wire::unpack_text(std::span(packed.data()->data(), packed.data()->size()));
    const wire::envelope* inner =
        bytes ? wire::verified_envelope(std::span(
                    reinterpret_cast<const std::uint8_t*>(bytes->data()), bytes->size()))
              : nullptr;
    // The protocol packs only target listings; a packed envelope that contains any other
    // message, such as another packed envelope, is invalid.
    if (inner == nullptr || inner->body_as_target_listing() == nullptr) {
        log_.warn("event=message_unreadable member=" + peer.address.str());
        return;
    }
    on_listing(peer, *inner->body_as_target_listing(),
               base::duration(static_cast<std::int64_t>(packed.age_ms())));
}

void core_links::on_core_report(link& peer, const wire::core_report& report)
{
    if (!peer.responsive) {
        peer.responsive = true;
        log_.info("event=core_reached member=" + peer.address.str());
    }
    const auto found = peer.sent_reports.find(report.sequence());
    const bool is_asked = found != peer.sent_reports.end();
    const sent_report asked = is_asked ? found->second : sent_report();
    peer.sent_reports.erase(peer.sent_reports.begin(),
                            peer.sent_reports.upper_bound(report.sequence()));
    std::set<base::endpoint> members;
    if (report.members() != nullptr) {
        for (const auto* text : *report.members()) {
            if (const auto address = base::endpoint::parse(text->str())) {
                members.insert(*address);
            }
        }
    }
    const followed_leader::verdict verdict =
        leader_.hear({peer.address, report.leader(), base::term(report.term()),
                      is_asked ? std::optional(asked.at) : std::nullopt},
                     clock_.now());
    const bool is_believed = verdict == followed_leader::verdict::known ||
                             verdict == followed_leader::verdict::changed;
    if (!is_believed) {
        unconfirmed_members_.insert(members.begin(), members.end());
        on_no_leader(peer, report);
        return;
    }
    if (verdict == followed_leader::verdict::changed) {
        on_new_leader(peer);
    }
    unconfirmed_members_.clear();
    if (!members.empty()) {
        members_number_ = report.members_number();
    }
    if (!members.empty() && members != members_) {
        members_ = std::move(members);
        log_.info("event=core_members_changed members=" +
                  std::to_string(members_.size()) + " leader=" + peer.address.str());
    }
    if (callbacks_.on_front_count) {
        callbacks_.on_front_count(report.fronts());
    }
    // An answer to a report with other numbers, such as those of the leader before, is
    // left to the next one.
    if (asked.suspects_number == suspects_number_) {
        on_suspects(report);
    }
    if (asked.gatherers_number == gatherers_number_) {
        on_gatherers(report);
    }
    on_zone_share(report);
    on_team_answer(report, asked.at);
    if (callbacks_.on_rollout_shares) {
        on_rollout_shares(report, asked.at);
    }
}

void core_links::on_no_leader(const link& peer, const wire::core_report& report)
{
    if (report.leader()) {
        log_.info("event=leader_refused member=" + peer.address.str() +
                  " term=" + std::to_string(report.term()) +
                  " latest_term=" + std::to_string(leader_.latest_term().value()));
    }
    if (peer.address == leader_.address()) {
        // It has not taken over what the report said.
        reported_zones_.clear();
    }
}

void core_links::on_new_leader(const link& peer)
{
    log_.info("event=leader_changed member=" + peer.address.str() +
              " term=" + std::to_string(leader_.term().value()));
    suspects_number_ = 0;
    gatherers_number_ = 0;
    reported_zones_.clear();
}

void core_links::on_zone_share(const wire::core_report& report)
{
    if (!callbacks_.on_zone_share) {
        return;
    }
    const wire::zone_share* named = report.given_share();
    if (named == nullptr || named->from() == nullptr || named->to() == nullptr) {
        callbacks_.on_zone_share(std::nullopt);
        return;
    }
    constexpr double permille = 1000.0;
    callbacks_.on_zone_share(deployment::zone_share{
        base::zone_id(named->from()->str()), base::zone_id(named->to()->str()),
        static_cast<double>(named->permille()) / permille});
}

void core_links::on_rollout_shares(const wire::core_report& report,
                                   base::instant asked_at)
{
    constexpr double per_10000 = 10'000.0;
    std::vector<deployment::rollout_share> shares;
    if (report.rollout_shares() != nullptr) {
        for (const wire::rollout_share* one : *report.rollout_shares()) {
            if (one->service() != nullptr && one->target_version() != nullptr) {
                shares.push_back(
                    {base::service_id(one->service()->str()),
                     one->target_version()->str(),
                     static_cast<double>(one->share_per_10000()) / per_10000});
            }
        }
    }
    callbacks_.on_rollout_shares(shares, asked_at);
}

void core_links::on_team_answer(const wire::core_report& report, base::instant asked_at)
{
    // The answer is younger than the report, so the round began at most so long before
    // the report was sent.
    if (callbacks_.on_confirmed && report.confirmed_index() != 0) {
        callbacks_.on_confirmed(report.confirmed_index(),
                                asked_at - base::duration(static_cast<std::int64_t>(
                                               report.confirmed_age_ms())));
    }
    if (!callbacks_.on_team_shares) {
        return;
    }
    constexpr double permille = 1000.0;
    std::vector<deployment::team_share> shares;
    if (report.team_shares() != nullptr) {
        for (const wire::team_share* one : *report.team_shares()) {
            if (one->team() != nullptr) {
                shares.push_back(
                    {one->team()->str(),
                     static_cast<double>(one->admitted_permille()) / permille,
                     base::duration(static_cast<std::int64_t>(one->wait_ms()))});
            }
        }
    }
    callbacks_.on_team_shares(leader_.address(), leader_.term(), std::move(shares));
}

// The last choice stays in use while no leader responds: each front finds by itself which
// gatherers are lost.
void core_links::on_gatherers(const wire::core_report& report)
{
    if (report.gatherers_number() == gatherers_number_) {
        return;
    }
    gatherers_number_ = report.gatherers_number();
    std::vector<deployment::gatherer> gatherers;
    if (report.gatherers() != nullptr) {
        for (const wire::gatherer* one : *report.gatherers()) {
            const auto address = base::endpoint::parse(
                one->address() == nullptr ? "" : one->address()->str());
            if (address && one->name() != nullptr && one->zone() != nullptr) {
                gatherers.push_back({base::vm_id(one->name()->str()),
                                     base::zone_id(one->zone()->str()), *address});
            }
        }
    }
    if (callbacks_.on_gatherers) {
        callbacks_.on_gatherers(std::move(gatherers));
    }
}

void core_links::on_suspects(const wire::core_report& report)
{
    if (report.suspects_number() == suspects_number_) {
        return;
    }
    if (report.suspects_base() == 0) {
        suspects_.clear();
    }
    else if (report.suspects_base() != suspects_number_) {
        // An answer to an earlier report. The next report names what this process holds.
        return;
    }
    suspects_number_ = report.suspects_number();
    if (report.suspects_removed() != nullptr) {
        for (const auto* id : *report.suspects_removed()) {
            suspects_.erase(base::target_id(id->str()));
        }
    }
    if (report.suspects() != nullptr) {
        for (const auto* id : *report.suspects()) {
            suspects_.emplace(id->str());
        }
    }
    if (callbacks_.on_suspects) {
        callbacks_.on_suspects(suspects_);
    }
}

void core_links::drop_old_suspects()
{
    if (!suspects_.empty() && !leader_responds()) {
        suspects_number_ = 0;
        suspects_.clear();
        if (callbacks_.on_suspects) {
            callbacks_.on_suspects({});
        }
    }
}

void core_links::on_snapshot(const link& peer, const wire::deployment_snapshot& snapshot)
{
    if (snapshot.index() <= state_index_) {
        return;
    }
    state_index_ = snapshot.index();
    received_state state;
    state.index = snapshot.index();
    state.version = snapshot.version();
    if (snapshot.document() != nullptr) {
        auto text = wire::unpack_text(
            std::span(snapshot.document()->data(), snapshot.document()->size()));
        if (!text && state.version > 0) {
            log_.error("event=document_unreadable member=" + peer.address.str() +
                       " version=" + std::to_string(state.version));
        }
        state.document = std::move(text).value_or("");
    }
    if (snapshot.evacuated_zones() != nullptr) {
        for (const auto* zone : *snapshot.evacuated_zones()) {
            state.evacuated.insert(base::zone_id(zone->str()));
        }
    }
    state.rollouts = deployment::decode_rollouts(snapshot);
    log_.info("event=state_received member=" + peer.address.str() + " index=" +
              std::to_string(state.index) + " version=" + std::to_string(state.version));
    if (callbacks_.on_state) {
        callbacks_.on_state(std::move(state));
    }
}

void core_links::on_listing(const link& peer, const wire::target_listing& listing,
                            base::duration packed_age)
{
    const base::duration age =
        base::duration(static_cast<std::int64_t>(listing.age_ms())) + packed_age;
    const listing_number offered{peer.address, base::term(listing.term()),
                                 listing.sequence()};
    if (!listing_.take(offered, listing.base(), leader_)) {
        // The next report tells the member which of its lists this process has, and the
        // leader then sends the complete list.
        return;
    }
    leader_.hear_term(offered.term);
    deployment::listing_change change;
    change.complete = listing.base() == 0;
    if (listing.removed() != nullptr) {
        for (const auto* id : *listing.removed()) {
            change.removed.emplace_back(id->str());
        }
    }
    if (listing.targets() != nullptr) {
        for (const auto* entry : *listing.targets()) {
            const auto text = [](const flatbuffers::String* field) {
                return field == nullptr ? std::string() : field->str();
            };
            const auto address = base::endpoint::parse(text(entry->address()));
            if (!address) {
                log_.warn("event=listing_entry_malformed target=" + text(entry->id()));
                continue;
            }
            change.targets.push_back(
                {base::target_id(text(entry->id())),
                 base::service_id(text(entry->service())),
                 base::zone_id(text(entry->zone())), *address, entry->draining(),
                 base::duration(static_cast<std::int64_t>(entry->cold_ms())),
                 text(entry->version())});
        }
    }
    log_.info("event=listing_received member=" + peer.address.str() +
              " term=" + std::to_string(offered.term.value()) +
              " sequence=" + std::to_string(offered.sequence) +
              (change.complete ? " targets=" : " changed=") +
              std::to_string(change.targets.size()) +
              " removed=" + std::to_string(change.removed.size()) +
              " age_ms=" + std::to_string(age.count()));
    change.read_at = clock_.now() - age;
    change.state_index = base::log_index(listing.state_index());
    callbacks_.on_listing(change);
}

void core_links::on_target_listing_check(const link& peer,
                                         const wire::target_listing_check& check)
{
    const listing_number confirmed{peer.address, base::term(check.term()),
                                   check.sequence()};
    if (listing_.confirms(confirmed, leader_)) {
        callbacks_.on_listing_check(
            clock_.now() - base::duration(static_cast<std::int64_t>(check.age_ms())));
    }
}

} // namespace curranthoist::coreclient
