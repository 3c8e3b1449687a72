#include "curranthoist/routing/hedge_budget.hpp"

#include <algorithm>

namespace curranthoist::routing {

void hedge_budget::on_first_attempts(std::int64_t count)
{
    credit_ = std::min(credit_ + count, max_tokens * first_attempts_per_token);
}

bool hedge_budget::take()
{
    if (credit_ < first_attempts_per_token) {
        return false;
    }
    credit_ -= first_attempts_per_token;
    return true;
}

bool hedge_budget::take_for_hedge()
{
    return credit_ >= (retry_reserve_tokens + 1) * first_attempts_per_token && take();
}

} // namespace curranthoist::routing
