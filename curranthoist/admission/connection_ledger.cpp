#include "curranthoist/admission/connection_ledger.hpp"

namespace curranthoist::admission {

void connection_ledger::on_opening(bool replaces_idle)
{
    ++(replaces_idle ? replacing_ : opening_);
}

void connection_ledger::on_opening_ended(bool replaces_idle)
{
    --(replaces_idle ? replacing_ : opening_);
}

void connection_ledger::expire(base::instant now)
{
    while (!given_up_.empty() && given_up_.front() <= now) {
        given_up_.pop_front();
    }
}

std::uint32_t connection_ledger::total() const
{
    return open_ + opening_ + given_up();
}

base::instant connection_ledger::next_expiry() const
{
    return given_up_.empty() ? base::instant::max() : given_up_.front();
}

} // namespace curranthoist::admission
