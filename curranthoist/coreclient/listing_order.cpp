#include "curranthoist/coreclient/listing_order.hpp"

#include "curranthoist/coreclient/followed_leader.hpp"

namespace curranthoist::coreclient {

bool listing_order::is_newer(const listing_number& offered, std::uint64_t base,
                             const followed_leader& leader) const
{
    if (offered.term < leader.latest_term()) {
        return false;
    }
    if (offered.publisher == held_.publisher && offered.term == held_.term) {
        // Changes of another list than the one held don't apply.
        return offered.sequence > held_.sequence && (base == 0 || base == held_.sequence);
    }
    if (base != 0) {
        return false;
    }
    if (offered.term != held_.term) {
        return offered.term > held_.term;
    }
    // Two publishers in one term: only one of them was elected in it.
    const bool is_of_term =
        leader.term() == offered.term || leader.term() == base::term();
    return is_of_term && leader.address() == offered.publisher;
}

bool listing_order::take(const listing_number& offered, std::uint64_t base,
                         const followed_leader& leader)
{
    if (!is_newer(offered, base, leader)) {
        return false;
    }
    held_ = offered;
    return true;
}

bool listing_order::confirms(const listing_number& offered,
                             const followed_leader& leader) const
{
    return offered == held_ && offered.term >= leader.latest_term();
}

listing_number listing_order::held_for(const base::endpoint& member) const
{
    return member == held_.publisher ? held_ : listing_number();
}

} // namespace curranthoist::coreclient
