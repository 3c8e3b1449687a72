#include "curranthoist/base/wall_clock.hpp"

#include "curranthoist/base/internal/read_clock.hpp"

#include <ctime>

namespace curranthoist::base {

instant wall_clock::now() const
{
    return internal::read_clock(CLOCK_REALTIME);
}

} // namespace curranthoist::base
