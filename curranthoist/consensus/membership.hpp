#pragma once

#include "curranthoist/consensus/member.hpp"
#include "curranthoist/consensus/membership_change.hpp"

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace curranthoist::consensus {

// The members of the replicated log at one point of it.
//
// Adding or removing one voter keeps every old quorum and every new quorum overlapping.
// A replacement does not (quorums {a, b} of {a, b, c} and {c, d} of {b, c, d} are
// disjoint), so it passes through a joint membership that needs a quorum of the old
// voters and one of the new voters.
class membership
{
public:
    membership() = default;
    explicit membership(std::vector<member> members);

    [[nodiscard]] std::span<const member> members() const { return members_; }
    [[nodiscard]] const member* find(const base::member_id& id) const;
    [[nodiscard]] bool empty() const { return members_.empty(); }
    // True for a voter and for a leaving member of a joint membership.
    [[nodiscard]] bool is_voter(const base::member_id& id) const;
    // True while a replacement is under way.
    [[nodiscard]] bool is_joint() const { return !outgoing_.empty(); }
    // True if the members for which `agrees` is true form a quorum (in a joint
    // membership: of the old and of the new voters). False without voters.
    [[nodiscard]] bool
    has_quorum(const std::function<bool(const base::member_id&)>& agrees) const;
    // The highest index that a quorum has reached.
    [[nodiscard]] base::log_index quorum_index(
        const std::function<base::log_index(const base::member_id&)>& reached) const;

    // Why `change` can't be made to this membership; empty if it can.
    [[nodiscard]] std::string refusal(const membership_change& change) const;
    // The membership after `change`, for which refusal() must be empty. It is joint after
    // a promotion with a replaced member.
    [[nodiscard]] membership changed(const membership_change& change) const;
    // The membership that ends a joint one: the leaving member is dropped.
    [[nodiscard]] membership without_leaving() const;

    // The last replacement that led to this membership; both empty if there was none.
    [[nodiscard]] const base::member_id& replaced() const { return replaced_; }
    [[nodiscard]] const base::member_id& replacement() const { return replacement_; }

    [[nodiscard]] std::vector<std::uint8_t> encode() const;
    // Throws base::findings_error if `bytes` hold no membership.
    [[nodiscard]] static membership decode(std::span<const std::uint8_t> bytes);

    bool operator==(const membership&) const = default;

private:
    [[nodiscard]] std::vector<base::member_id> voters() const;

    std::vector<member> members_;
    // The old voters of a joint membership.
    std::vector<base::member_id> outgoing_;
    base::member_id replaced_;
    base::member_id replacement_;
};

} // namespace curranthoist::consensus
