#include "curranthoist/frontd/core_updates.hpp"

#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/frontd/front_state.hpp"
#include "curranthoist/frontd/gather_links.hpp"
#include "curranthoist/frontd/target_upkeep.hpp"
#include "curranthoist/platform/configuration_document.hpp"

#include <memory>
#include <set>
#include <span>
#include <string>
#include <utility>

namespace curranthoist::frontd {

core_updates::core_updates(front_state& state, target_upkeep& upkeep, gather_links& links,
                           base::zone_id own_zone, base::duration zone_cost,
                           configuration_handler on_configuration)
    : state_(state)
    , upkeep_(upkeep)
    , links_(links)
    , own_zone_(std::move(own_zone))
    , zone_cost_(zone_cost)
    , on_configuration_(std::move(on_configuration))
{}

coreclient::core_links::handlers core_updates::handlers()
{
    coreclient::core_links::handlers on;
    on.on_state = [this](const coreclient::received_state& state) { on_state(state); };
    on.on_listing = [this](const deployment::listing_change& change) {
        on_listing(change);
    };
    on.on_listing_check = [this](base::instant read_at) {
        state_.context.directory.confirm_listing(read_at);
    };
    on.on_suspects = [this](std::set<base::target_id> suspects) {
        if (suspects.size() != suspects_) {
            suspects_ = suspects.size();
            log_.info("event=suspects_changed targets=" + std::to_string(suspects_));
        }
        state_.context.directory.set_suspects(std::move(suspects));
    };
    on.on_gatherers = [this](std::vector<deployment::gatherer> gatherers) {
        on_gatherers(std::move(gatherers));
    };
    on.samples = [this] { return state_.context.directory.take_samples(); };
    on.on_front_count = [this](std::size_t fronts) {
        if (fronts > 0 && fronts != state_.context.fronts) {
            log_.info("event=front_count_changed fronts=" + std::to_string(fronts));
            state_.context.fronts = fronts;
            state_.context.budget.set_vm_count(fronts);
            state_.context.directory.set_vm_count(fronts);
            state_.team_admission.set_vm_count(fronts);
        }
    };
    on.on_confirmed = [this](std::uint64_t index, base::instant at) {
        state_.key_lease.confirm(index, at);
    };
    on.on_team_shares = [this](const base::endpoint& leader, base::term term,
                               const std::vector<deployment::team_share>& shares) {
        state_.team_admission.on_leader(leader, term, clock_.now());
        state_.team_admission.set_shares(shares);
    };
    on.on_rollout_shares = [this](std::span<const deployment::rollout_share> shares,
                                  base::instant at) {
        state_.context.directory.versions().set_shares(shares, at);
    };
    on.answers_by_version = [this] {
        return state_.context.directory.answers_by_version();
    };
    on.answers_by_zone = [this] { return state_.context.zone_answers.counts(); };
    on.on_zone_share = [this](std::optional<deployment::zone_share> share) {
        state_.context.zones.set_share(std::move(share), clock_.now());
    };
    // Little depends on the reports of a front for which others gather, unless it has
    // requests of teams or of roll-outs to report.
    on.may_report_rarely = [this] {
        return !links_.gatherers().empty() && !state_.context.gathers &&
               state_.configuration.current() &&
               !state_.newest_table().teams().requires_keys() &&
               state_.context.directory.versions().answers().empty();
    };
    on.zone_cost = zone_cost_;
    on.team_uses = [this] { return state_.team_admission.report_uses(); };
    on.wanted_report_interval = [this]() -> std::optional<base::duration> {
        if (!state_.configuration.current() ||
            !state_.newest_table().teams().requires_keys()) {
            return std::nullopt;
        }
        return state_.team_admission.wanted_report_interval();
    };
    return on;
}

void core_updates::on_state(const coreclient::received_state& state)
{
    state_.context.directory.set_evacuated(state.evacuated, clock_.now());
    state_.context.directory.versions().set_rollouts(state.rollouts,
                                                     base::log_index(state.index));
    upkeep_.withdraw_unsent(clock_.now());
    if (state.version <= state_.configuration.offered_version()) {
        state_.key_lease.hold(state.index);
        return;
    }
    try {
        state_.configuration.offer(std::make_shared<const deployment::route_table>(
                                       platform::decode_configuration(state.document)),
                                   clock_.now());
        state_.key_lease.hold(state.index);
    }
    catch (const base::findings_error& error) {
        log_.error("event=configuration_unreadable version=" +
                   std::to_string(state.version) + " findings=\"" + error.what() + "\"");
    }
    switch_configuration();
}

void core_updates::switch_configuration()
{
    if (state_.configuration.update(state_.context.directory, clock_.now())) {
        const deployment::configuration& now = state_.configuration.current()->source();
        state_.context.configuration = std::shared_ptr<const deployment::configuration>(
            state_.configuration.current(), &now);
        on_configuration_(now);
        log_.info("event=configuration_in_force version=" + std::to_string(now.version) +
                  " routes=" + std::to_string(now.routes.size()) +
                  " teams=" + (now.teams ? std::to_string(now.teams->size()) : "absent"));
    }
}

void core_updates::on_listing(const deployment::listing_change& change)
{
    state_.context.pool.retire(state_.context.directory.apply(change));
    upkeep_.withdraw_unsent(clock_.now());
}

void core_updates::on_gatherers(std::vector<deployment::gatherer> gatherers)
{
    if (gatherers.empty() && links_.gatherers().empty()) {
        return;
    }
    const base::vm_id self(state_.context.own_name);
    state_.context.gathers = false;
    state_.context.gatherers_in_zone = 0;
    for (const deployment::gatherer& one : gatherers) {
        state_.context.gathers = state_.context.gathers || one.name == self;
        state_.context.gatherers_in_zone += one.zone == own_zone_ ? 1 : 0;
    }
    log_.info("event=gatherers_changed gatherers=" + std::to_string(gatherers.size()) +
              " in_zone=" + std::to_string(state_.context.gatherers_in_zone) +
              " gathers=" + (state_.context.gathers ? "true" : "false"));
    upkeep_.forget_services();
    links_.set_gatherers(std::move(gatherers));
}

} // namespace curranthoist::frontd
