#include "curranthoist/admission/connection_tracker.hpp"

namespace curranthoist::admission {

void connection_tracker::on_opening(bool replaces_idle)
{
    ++(replaces_idle ? replacing_ : opening_);
}

void connection_tracker::on_opening_ended(bool replaces_idle)
{
    --(replaces_idle ? replacing_ : opening_);
}

void connection_tracker::expire(base::instant now)
{
    while (!abandoned_expiries_.empty() && abandoned_expiries_.front() <= now) {
        abandoned_expiries_.pop_front();
    }
}

std::uint32_t connection_tracker::total() const
{
    return open_ + opening_ + abandoned();
}

base::instant connection_tracker::next_expiry() const
{
    return abandoned_expiries_.empty() ? base::instant::max()
                                       : abandoned_expiries_.front();
}

} // namespace curranthoist::admission
