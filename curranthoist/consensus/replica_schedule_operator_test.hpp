#pragma once

#include "curranthoist/consensus/replica_schedule_test.hpp"

// What operators do in a random_schedule, and how one ends.

namespace curranthoist::consensus::testing_support {

template <class Rules, class Faults>
void random_schedule<Rules, Faults>::lose_disk(node& one)
{
    const node* leader = ready_leader();
    if (!lost_.empty() || leader == nullptr || !is_plain_voter(one.id())) {
        return;
    }
    checker_.lost_disk(one.id());
    lost_ = one.id();
    one.lose_disk();
    if (Faults::reuse_lost_identity) {
        start(one);
        return;
    }
    gone_.insert(one.id());
    replacement_ = new_id();
    add_member(replacement_, {});
}

template <class Rules, class Faults>
bool random_schedule<Rules, Faults>::is_plain_voter(const base::member_id& id)
{
    const replica_status status = ready_leader()->replica().status();
    const member* found = status.members.find(id);
    const bool settled =
        status.membership_index <= status.commit_index &&
        std::all_of(status.progress.begin(), status.progress.end(),
                    [&](const member_progress& one) {
                        return one.id != growing_ ||
                               one.match_index >= status.membership_index;
                    });
    return settled && found != nullptr && found->role == member_role::voter;
}

template <class Rules, class Faults>
void random_schedule<Rules, Faults>::change(node& leader,
                                            membership_change::change_kind kind,
                                            const base::member_id& id,
                                            const base::member_id& replaced)
{
    leader.replica().propose_change({kind, id, {"127.0.0.1", 1}, replaced});
    collect(leader);
}

template <class Rules, class Faults>
void random_schedule<Rules, Faults>::continue_repair()
{
    node* leader = ready_leader();
    if (leader == nullptr || lost_.empty() || replacement_.empty()) {
        return;
    }
    using kind = membership_change::change_kind;
    const std::optional<repair_status> repair = leader->replica().status().repair;
    if (repair && repair->replacement == replacement_ && repair->finished) {
        ++repairs_;
        lost_ = {};
        replacement_ = {};
        // Often the next member is lost at this very moment.
        const std::uint64_t before = ids_;
        if (random_.chance(0.5)) {
            lose_disk(any_node());
            second_losses_ += ids_ - before;
        }
        return;
    }
    if (leader->replica().members().find(replacement_) == nullptr) {
        change(*leader, kind::add_learner, replacement_, {});
    }
    else {
        change(*leader, kind::promote, replacement_, lost_);
    }
}

template <class Rules, class Faults>
void random_schedule<Rules, Faults>::operate()
{
    node* leader = ready_leader();
    if (leader == nullptr || !lost_.empty()) {
        return;
    }
    using kind = membership_change::change_kind;
    const auto members = leader->replica().members().members();
    for (const member& one : members) {
        if (one.role == member_role::learner) {
            growing_ = one.id;
            change(*leader, kind::promote, one.id, {});
            return;
        }
    }
    constexpr std::size_t max_members = 5;
    if (members.size() < max_members && nodes_.size() < 2 * max_members) {
        const base::member_id id = new_id();
        add_member(id, {});
        change(*leader, kind::add_learner, id, {});
    }
    else if (members.size() > 3) {
        change(*leader, kind::remove, members[random_.below(members.size())].id, {});
    }
}

template <class Rules, class Faults>
void random_schedule<Rules, Faults>::settle()
{
    settling_ = true;
    blocked_.clear();
    for (const auto& one : nodes_) {
        restart(*one);
    }
    constexpr int rounds = 1500;
    for (int i = 0; i < rounds; ++i) {
        for (std::size_t n = network_.size(); n > 0; --n) {
            deliver();
        }
        for (const auto& one : nodes_) {
            for (int writes = 0; one->is_up() && writes < 8; ++writes) {
                disk_step(*one);
            }
        }
        advance(base::duration(10));
        if (i % 50 == 0) {
            continue_repair();
        }
        node* leader = ready_leader();
        if (leader != nullptr && i == rounds - 500) {
            propose(*leader);
        }
    }
    check_agreement();
}

template <class Rules, class Faults>
void random_schedule<Rules, Faults>::check_agreement()
{
    const node* leader = ready_leader();
    if (leader == nullptr) {
        checker_.report("no leader after all faults ended:" + describe());
        return;
    }
    if (leader->applied_index() < checker_.highest_acknowledged()) {
        checker_.report("an acknowledged entry is lost");
    }
    for (const member& one : ready_leader()->replica().members().members()) {
        const node* other = find(one.id);
        if (gone_.contains(one.id) || other == nullptr) {
            continue;
        }
        if (other->applied() != leader->applied()) {
            checker_.report("member " + one.id.str() + " did not catch up");
        }
    }
    checker_.state(leader->id(), leader->applied_index(), leader->applied());
}

template <class Rules, class Faults>
std::string random_schedule<Rules, Faults>::describe()
{
    std::ostringstream out;
    for (const auto& one : nodes_) {
        out << "\n" << one->id().str();
        if (!one->is_up()) {
            out << " down";
            continue;
        }
        const replica_status status = one->replica().status();
        out << " role " << static_cast<int>(status.role) << " term "
            << status.term.value() << " last " << status.last_index.value() << " commit "
            << status.commit_index.value() << " members";
        for (const member& other : status.members.members()) {
            out << " " << other.id.str() << "/" << static_cast<int>(other.role);
        }
    }
    return out.str();
}

} // namespace curranthoist::consensus::testing_support
