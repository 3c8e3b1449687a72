#include "curranthoist/coreclient/followed_leader.hpp"

#include "curranthoist/coreclient/leader_claim.hpp"

#include <algorithm>

namespace curranthoist::coreclient {

bool followed_leader::has_answered(base::instant now) const
{
    return !address_.address.empty() && now - asked_at_ <= limit_;
}

bool followed_leader::responds(base::instant now) const
{
    const bool is_latest = term_ == base::term() || term_ >= latest_term_;
    return is_latest && has_answered(now);
}

void followed_leader::hear_term(base::term term)
{
    latest_term_ = std::max(latest_term_, term);
}

bool followed_leader::is_believed(const leader_claim& claim, base::instant now) const
{
    if (!claim.asked_at || now - *claim.asked_at > limit_) {
        return false;
    }
    if (claim.term == base::term()) {
        // Whether it is the latest leader can't be known, so one that tells its term goes
        // first.
        return term_ == base::term() || !responds(now);
    }
    // A term has one leader. It may be reached at two addresses, of which one fails.
    const bool has_another_leader =
        claim.term == term_ && claim.member != address_ && has_answered(now);
    return claim.term >= latest_term_ && !has_another_leader;
}

followed_leader::verdict followed_leader::hear(const leader_claim& claim,
                                               base::instant now)
{
    hear_term(claim.term);
    if (!claim.leads) {
        return verdict::no_leader;
    }
    if (!is_believed(claim, now)) {
        return verdict::refused;
    }
    const bool is_known = claim.member == address_ && claim.term == term_;
    address_ = claim.member;
    term_ = claim.term;
    asked_at_ = *claim.asked_at;
    return is_known ? verdict::known : verdict::changed;
}

} // namespace curranthoist::coreclient
