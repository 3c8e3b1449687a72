#include "curranthoist/base/monotonic_clock.hpp"

#include "curranthoist/base/internal/read_clock.hpp"

#include <ctime>

namespace curranthoist::base {

instant monotonic_clock::now() const
{
    return internal::read_clock(CLOCK_BOOTTIME);
}

} // namespace curranthoist::base
