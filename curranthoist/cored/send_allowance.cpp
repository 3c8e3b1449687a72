#include "curranthoist/cored/send_allowance.hpp"

#include <algorithm>

namespace curranthoist::cored {

bool send_allowance::take(std::size_t bytes, base::instant now)
{
    left_ = std::min(left_ + bytes_per_s_ * (now - refilled_).seconds(),
                     bytes_per_s_ * burst.seconds());
    refilled_ = now;
    if (left_ <= 0) {
        return false;
    }
    left_ -= static_cast<double>(bytes);
    return true;
}

} // namespace curranthoist::cored
