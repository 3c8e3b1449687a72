#pragma once

#include <cstdint>

namespace curranthoist::deployment {

enum class rollout_phase : std::uint8_t
{
    running,
    completed,
    rolled_back
};

} // namespace curranthoist::deployment
