#include "curranthoist/forwarding/version_share.hpp"

#include <algorithm>

namespace curranthoist::forwarding {

namespace {

// Rounding of the sums must not cost a request of a share of 1.
constexpr double rounding = 1e-9;
// A version without usable targets must not collect credit for a burst.
constexpr double max_credit = 1.0;

} // namespace

version_share::version_share(double initial_credit, base::duration lifetime)
    : credit_(initial_credit)
    , lifetime_(lifetime)
{}

void version_share::set(double share, base::instant named_at)
{
    if (named_at >= named_at_) {
        share_ = std::clamp(share, 0.0, 1.0);
        named_at_ = named_at;
    }
}

double version_share::current(base::instant now) const
{
    return now - named_at_ <= lifetime_ ? share_ : 0.0;
}

bool version_share::is_open(base::instant now) const
{
    return current(now) > 0;
}

bool version_share::allows_next(base::instant now) const
{
    return is_open(now) && credit_ + current(now) >= 1.0 - rounding;
}

void version_share::on_sent(bool to_ordered_version, base::instant now)
{
    credit_ = std::min(credit_ + current(now), max_credit);
    if (to_ordered_version) {
        credit_ -= 1.0;
    }
}

} // namespace curranthoist::forwarding
