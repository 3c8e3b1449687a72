#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/base/logger.hpp"
#include "curranthoist/consensus/membership_change.hpp"
#include "curranthoist/consensus/replica_status.hpp"
#include "curranthoist/control/member_replacement.hpp"

#include <string>

namespace curranthoist::controld {

// Carries out the replacement of a member that an operator wants, one step at a time:
// adds the new member as a learner, replaces the old one when the learner has caught up,
// and reports when that is committed. Every leader continues where the last one stopped,
// because each step shows in the membership.
//
// `Host` is consensus::replica_host or a stand-in with change_membership().
template <class Host>
class member_replacer
{
public:
    // Steps are tried at most this often.
    static constexpr base::duration interval{500};

    // The host must outlive it.
    explicit member_replacer(Host& host)
        : host_(host)
    {}

    // Tries the next step; call it on the leader only. Returns true once the replacement
    // is done.
    bool step(const control::member_replacement& wanted,
              const consensus::replica_status& status, base::instant now)
    {
        if (now - last_step_ < interval) {
            return false;
        }
        last_step_ = now;
        const base::member_id old_member(wanted.old_member);
        const base::member_id new_member(wanted.new_member);
        const consensus::member* added = status.members.find(new_member);
        if (added == nullptr) {
            add_learner(wanted);
            return false;
        }
        if (added->role == consensus::member_role::learner) {
            change({consensus::membership_change::change_kind::promote, new_member,
                    added->address, old_member},
                   "member " + wanted.new_member + " replaces " + wanted.old_member);
            return false;
        }
        state_ = "waiting until " + wanted.new_member + " has reached the commit index";
        const bool left = status.members.find(old_member) == nullptr;
        const bool caught_up = !status.repair ||
                               status.repair->replacement != new_member ||
                               status.repair->finished;
        return left && !status.members.is_joint() && caught_up;
    }
    // Where the replacement stands, for operators.
    [[nodiscard]] const std::string& state() const { return state_; }

private:
    void add_learner(const control::member_replacement& wanted)
    {
        change({consensus::membership_change::change_kind::add_learner,
                base::member_id(wanted.new_member),
                base::endpoint::parse(wanted.address).value_or(base::endpoint{}),
                {}},
               "member " + wanted.new_member + " becomes a learner");
    }
    void change(const consensus::membership_change& wanted, const std::string& what)
    {
        const std::string reason = host_.change_membership(wanted);
        const std::string now = reason.empty() ? what : what + " later: " + reason;
        if (now != state_) {
            base::logger("control").info(now);
        }
        state_ = now;
    }

    Host& host_;
    base::instant last_step_;
    std::string state_ = "not begun";
};

} // namespace curranthoist::controld
