#include "curranthoist/cored/membership_keeper.hpp"

#include <algorithm>

namespace curranthoist::cored {

namespace {

using consensus::member;
using consensus::member_role;
using consensus::membership_change;

} // namespace

base::duration membership_keeper::silence_of(const consensus::replica_status& status,
                                             const base::member_id& id,
                                             base::instant now) const
{
    for (const consensus::member_progress& one : status.progress) {
        if (one.id == id && one.last_heard != base::instant::max()) {
            return now - std::max(one.last_heard, acts_since_);
        }
    }
    return base::duration();
}

void membership_keeper::on_join(const base::member_id& id, const base::endpoint& address,
                                base::instant now)
{
    applicants_[id] = {address, now};
}

base::member_id
membership_keeper::voter_to_replace(const consensus::replica_status& status,
                                    const base::endpoint& address,
                                    base::instant now) const
{
    base::member_id silent;
    base::duration longest = replace_after;
    for (const member& one : status.members.members()) {
        if (one.role != member_role::voter || one.id == status.self) {
            continue;
        }
        // A process at that address with another id has lost its disk.
        if (one.address == address) {
            return one.id;
        }
        const base::duration silence = silence_of(status, one.id, now);
        if (silence > longest) {
            silent = one.id;
            longest = silence;
        }
    }
    return silent;
}

std::optional<membership_change>
membership_keeper::removal(const consensus::replica_status& status,
                           base::instant now) const
{
    std::size_t voters = 0;
    for (const member& one : status.members.members()) {
        voters += one.role == member_role::voter ? 1 : 0;
    }
    for (const member& one : status.members.members()) {
        const bool silent = silence_of(status, one.id, now) > remove_after;
        const bool spare = one.role == member_role::learner || voters > least_voters;
        if (silent && spare && one.role != member_role::leaving) {
            return membership_change{
                membership_change::change_kind::remove, one.id, {}, {}};
        }
    }
    return std::nullopt;
}

std::optional<membership_change>
membership_keeper::next_change(const consensus::replica_status& status, base::instant now)
{
    if (called_at_ && now - *called_at_ > max_pause) {
        acts_since_ = now;
    }
    called_at_ = now;
    std::erase_if(applicants_, [now](const auto& one) {
        return now - one.second.asked > forget_after;
    });
    if (status.members.is_joint()) {
        return std::nullopt;
    }
    for (auto at = applicants_.begin(); at != applicants_.end();) {
        const auto& [id, from] = *at;
        const member* known = status.members.find(id);
        if (known == nullptr) {
            return membership_change{
                membership_change::change_kind::add_learner, id, from.address, {}};
        }
        if (known->role == member_role::learner) {
            return membership_change{membership_change::change_kind::promote, id,
                                     known->address,
                                     voter_to_replace(status, from.address, now)};
        }
        at = applicants_.erase(at);
    }
    return removal(status, now);
}

} // namespace curranthoist::cored
