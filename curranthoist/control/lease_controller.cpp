#include "curranthoist/control/lease_controller.hpp"

#include "curranthoist/control/cluster_state.hpp"

#include <algorithm>

namespace curranthoist::control {

void lease_controller::reset(base::instant now, base::revision current)
{
    *this = lease_controller(rules_);
    elected_ = now;
    old_ = current;
}

void lease_controller::on_ready(base::revision current)
{
    old_ = current;
    young_.clear();
}

void lease_controller::on_heartbeat(const base::vm_id& vm, base::incarnation run,
                                    bool stopping, base::revision applied,
                                    session_number session, std::uint64_t sequence,
                                    base::instant now)
{
    const process from(vm, run);
    processes_[from] = process_view{now, applied, stopping};
    waiting_[session] = waiting_heartbeat{from, sequence, now};
}

void lease_controller::on_session_closed(session_number session)
{
    waiting_.erase(session);
    in_round_.erase(session);
}

void lease_controller::on_revision(base::revision number, base::instant now)
{
    young_.emplace_back(number, now);
}

void lease_controller::on_opened(const base::vm_id& vm, base::revision current)
{
    opened_at_[vm] = current;
    closing_.erase(vm);
}

void lease_controller::on_closed(const base::vm_id& vm)
{
    opened_at_.erase(vm);
    closing_.erase(vm);
}

void lease_controller::on_closing(const base::vm_id& vm, base::instant now)
{
    closing_[vm] = now;
}

void lease_controller::begin_round()
{
    in_round_ = std::move(waiting_);
    waiting_.clear();
}

std::vector<lease_controller::answer>
lease_controller::finish_round(bool confirmed, const cluster_state& state,
                               base::instant now)
{
    while (!young_.empty() && young_.front().second <= now - revision_grace) {
        old_ = young_.front().first;
        young_.pop_front();
    }
    std::vector<answer> answers;
    for (const auto& [session, heartbeat] : in_round_) {
        const bool sure = confirmed || !rules_.confirm_before_grant;
        answers.push_back({session, heartbeat.sequence, heartbeat.from.first,
                           sure && may_grant(heartbeat, state, now)});
    }
    in_round_.clear();
    return answers;
}

bool lease_controller::may_grant(const waiting_heartbeat& heartbeat,
                                 const cluster_state& state, base::instant now) const
{
    const auto& [vm, run] = heartbeat.from;
    return state.open_incarnation(vm) == run && !closing_.contains(vm) &&
           state.current().vms.contains(vm) && now - heartbeat.arrived < lease_length &&
           applied(vm, run) >= required_revision(vm);
}

base::revision lease_controller::required_revision(const base::vm_id& vm) const
{
    const auto opened = opened_at_.find(vm);
    return opened == opened_at_.end() ? old_ : std::max(old_, opened->second);
}

base::duration lease_controller::wait() const
{
    constexpr base::duration broken_wait{500};
    return rules_.wait_for_expiry ? expiry_wait : broken_wait;
}

base::instant lease_controller::expires_at(const base::vm_id& vm,
                                           base::incarnation run) const
{
    const auto found = processes_.find(process(vm, run));
    const base::instant heard =
        found == processes_.end() ? elected_ : std::max(elected_, found->second.heard);
    return heard + wait();
}

bool lease_controller::is_expired(const base::vm_id& vm, base::incarnation run,
                                  base::instant now) const
{
    return now >= expires_at(vm, run);
}

bool lease_controller::is_heard(const base::vm_id& vm, base::incarnation run,
                                base::instant now) const
{
    const auto found = processes_.find(process(vm, run));
    return found != processes_.end() && now - found->second.heard < expiry_wait;
}

bool lease_controller::is_stopping(const base::vm_id& vm, base::incarnation run) const
{
    const auto found = processes_.find(process(vm, run));
    return found != processes_.end() && found->second.stopping;
}

bool lease_controller::may_close_again(const base::vm_id& vm, base::instant now) const
{
    constexpr base::duration retry_after{2000};
    const auto found = closing_.find(vm);
    return found == closing_.end() || now - found->second >= retry_after;
}

base::revision lease_controller::applied(const base::vm_id& vm,
                                         base::incarnation run) const
{
    const auto found = processes_.find(process(vm, run));
    return found == processes_.end() ? base::revision() : found->second.applied;
}

std::optional<base::incarnation> lease_controller::heard_run(const base::vm_id& vm,
                                                             base::instant now) const
{
    std::optional<base::incarnation> latest;
    base::instant heard;
    for (auto one = processes_.lower_bound(process(vm, base::incarnation()));
         one != processes_.end() && one->first.first == vm; ++one) {
        const bool recent = now - one->second.heard < expiry_wait;
        if (recent && (!latest || one->second.heard >= heard)) {
            latest = one->first.second;
            heard = one->second.heard;
        }
    }
    return latest;
}

void lease_controller::drop_old(const cluster_state& state, base::instant now)
{
    constexpr std::int64_t kept_waits = 10;
    std::erase_if(processes_, [&](const auto& entry) {
        const auto& [vm, run] = entry.first;
        return now - entry.second.heard > expiry_wait * kept_waits &&
               state.open_incarnation(vm) != run;
    });
}

} // namespace curranthoist::control
