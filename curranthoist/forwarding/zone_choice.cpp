#include "curranthoist/forwarding/zone_choice.hpp"

#include <utility>

namespace curranthoist::forwarding {

void zone_choice::set_share(std::optional<deployment::zone_share> share,
                            base::instant now)
{
    share_ = std::move(share);
    named_at_ = now;
}

std::optional<base::zone_id> zone_choice::next(base::instant now)
{
    if (!share_ || now - named_at_ > hold_time) {
        return std::nullopt;
    }
    given_ += share_->share;
    if (given_ < 1.0) {
        return std::nullopt;
    }
    given_ -= 1.0;
    return share_->to;
}

} // namespace curranthoist::forwarding
