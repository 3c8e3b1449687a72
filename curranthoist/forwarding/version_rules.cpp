#include "curranthoist/forwarding/version_rules.hpp"

#include <algorithm>
#include <functional>
#include <set>

namespace curranthoist::forwarding {

namespace {

// An answer that took more than this many times the usual latency counts as bad.
constexpr std::int64_t bad_latency_factor = 3;

double initial_credit(const std::string& own_name, const deployment::rollout& order)
{
    constexpr std::size_t parts = 1000;
    const std::string text =
        own_name + "|" + order.service.str() + "|" + order.target_version;
    return static_cast<double>(std::hash<std::string>()(text) % parts) / parts;
}

} // namespace

void version_rules::set_rollouts(std::span<const deployment::rollout> rollouts,
                                 base::log_index index)
{
    state_index_ = index;
    std::set<base::service_id> named;
    for (const deployment::rollout& one : rollouts) {
        named.insert(one.service);
        const auto known = services_.find(one.service);
        if (known != services_.end() && known->second.order.same_order(one)) {
            known->second.order = one;
        }
        else {
            services_.insert_or_assign(
                one.service, service_rules{one,
                                           version_share(initial_credit(own_name_, one),
                                                         share_lifetime_),
                                           {{one.base_version, {}}}});
        }
    }
    std::erase_if(services_,
                  [&named](const auto& one) { return !named.contains(one.first); });
}

void version_rules::on_listed(const base::service_id& service, const std::string& version,
                              base::instant read_at, base::log_index state_index)
{
    listed_versions& listed = listed_[service];
    if (listed.versions.empty()) {
        listed.first_read_at = read_at;
    }
    // A target's entry is repeated when its state changes.
    listed.versions.try_emplace(version, listed_version{read_at == listed.first_read_at
                                                            ? base::instant()
                                                            : read_at + join_hold,
                                                        state_index});
}

void version_rules::on_unlisted(const base::service_id& service,
                                const std::string& version)
{
    const auto listed = listed_.find(service);
    if (listed != listed_.end()) {
        listed->second.versions.erase(version);
        if (listed->second.versions.empty()) {
            listed_.erase(listed);
        }
    }
}

bool version_rules::is_held(const base::service_id& service, const std::string& version,
                            base::instant now) const
{
    const auto listed = listed_.find(service);
    if (!holds_joining_versions_ || listed == listed_.end() ||
        listed->second.versions.size() < 2) {
        return false;
    }
    const auto found = listed->second.versions.find(version);
    return found != listed->second.versions.end() &&
           (state_index_ < found->second.state_index || now < found->second.held_until);
}

void version_rules::set_shares(std::span<const deployment::rollout_share> shares,
                               base::instant named_at)
{
    heard_at_ = std::max(heard_at_, named_at);
    for (auto& [service, rules] : services_) {
        double share = 0.0;
        for (const deployment::rollout_share& one : shares) {
            if (one.service == service &&
                one.target_version == rules.order.target_version) {
                share = one.share;
            }
        }
        rules.share.set(share, named_at);
    }
}

const version_rules::service_rules*
version_rules::find_running(const base::service_id& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ||
                   found->second.order.phase != deployment::rollout_phase::running
               ? nullptr
               : &found->second;
}

version_rules::service_rules* version_rules::find_running(const base::service_id& service)
{
    const auto found = services_.find(service);
    return found == services_.end() ||
                   found->second.order.phase != deployment::rollout_phase::running
               ? nullptr
               : &found->second;
}

bool version_rules::is_allowed(const base::service_id& service,
                               const std::string& version, base::instant now) const
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return !is_held(service, version, now);
    }
    const service_rules& rules = found->second;
    if (rules.order.excluded_versions.contains(version)) {
        return false;
    }
    const bool is_named =
        version == rules.order.target_version || version == rules.order.base_version;
    if (!is_named && is_held(service, version, now)) {
        return false;
    }
    return rules.order.phase != deployment::rollout_phase::running ||
           version != rules.order.target_version || rules.share.is_open(now);
}

bool version_rules::is_substitute(const base::service_id& service,
                                  const std::string& version, base::instant now) const
{
    const service_rules* const rules = find_running(service);
    // Before the first answer of a leader it isn't known for how long there was none.
    return rules != nullptr && rules->order.target_version == version &&
           !rules->order.excluded_versions.contains(version) &&
           heard_at_ != base::instant() && now - heard_at_ > contact_limit_;
}

const std::string* version_rules::running_version(const base::service_id& service) const
{
    const service_rules* const rules = find_running(service);
    return rules == nullptr ? nullptr : &rules->order.target_version;
}

bool version_rules::allows_next(const base::service_id& service, base::instant now) const
{
    const service_rules* const rules = find_running(service);
    return rules != nullptr && rules->share.allows_next(now);
}

void version_rules::on_sent(const base::service_id& service, const std::string& version,
                            base::instant now)
{
    if (service_rules* const rules = find_running(service)) {
        rules->share.on_sent(version == rules->order.target_version, now);
    }
}

void version_rules::on_answer(const base::service_id& service, const std::string& version,
                              response_kind kind, base::duration latency,
                              base::duration expected_latency)
{
    service_rules* const rules = find_running(service);
    if (rules == nullptr || certainly_not_run(kind)) {
        return;
    }
    const bool is_late = expected_latency > base::duration() &&
                         latency > expected_latency * bad_latency_factor;
    // Most cancelled calls lost against a faster one and say nothing of the target.
    const bool is_cancelled = kind == response_kind::cancelled;
    if (is_cancelled && !is_late) {
        return;
    }
    deployment::version_answers& counts = rules->answers[version];
    ++counts.answers;
    counts.bad += is_late || (!is_cancelled && kind != response_kind::success) ? 1 : 0;
}

std::vector<deployment::version_answers> version_rules::answers() const
{
    std::vector<deployment::version_answers> result;
    for (const auto& [service, rules] : services_) {
        if (rules.order.phase != deployment::rollout_phase::running) {
            continue;
        }
        for (const auto& [version, counts] : rules.answers) {
            result.push_back({service, version, counts.answers, counts.bad});
        }
    }
    return result;
}

} // namespace curranthoist::forwarding
