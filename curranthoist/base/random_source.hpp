#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace curranthoist::base {

// A seeded random generator. The same seed gives the same sequence in every build,
// because the ranges are computed here and not by the standard library's distributions.
class random_source
{
public:
    explicit random_source(std::uint64_t seed)
        : engine_(seed)
    {}

    // Any 64-bit value.
    std::uint64_t next() { return engine_(); }
    // A value in [0, bound); `bound` must be above 0.
    std::uint64_t below(std::uint64_t bound) { return engine_() % bound; }
    // A value in [low, high].
    std::int64_t between(std::int64_t low, std::int64_t high)
    {
        return low + static_cast<std::int64_t>(
                         below(static_cast<std::uint64_t>(high - low) + 1));
    }
    // A value in [0, 1).
    double unit()
    {
        constexpr int mantissa_shift = 11;
        constexpr double scale = 1.0 / 9007199254740992.0; // 2 to the power of -53
        return static_cast<double>(engine_() >> mantissa_shift) * scale;
    }
    // True with the given probability.
    bool chance(double probability) { return unit() < probability; }

private:
    std::mt19937_64 engine_;
};

} // namespace curranthoist::base
