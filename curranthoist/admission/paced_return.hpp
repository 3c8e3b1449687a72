#pragma once

#include "curranthoist/base/instant.hpp"

#include <cstdint>

namespace curranthoist::admission {

// The chosen return of a cold target: a rate of starts that grows with good responses.
// The pace starts at 5/s, grows by half after 8 consecutive good responses and is halved
// after a shed or a timeout. The target is warm once the pace exceeds its capacity.
class paced_return
{
public:
    static constexpr std::uint64_t first_pace = 5'000;
    // A target that fails everything still gets a request a second to prove itself with.
    static constexpr std::uint64_t lowest_pace = 1'000;
    static constexpr int good_responses_to_grow = 8;

    void turn_cold(base::instant now);
    void inherit(std::uint64_t pace_milli_per_s, bool warm);
    void on_start(base::instant now);
    void on_good(std::uint64_t capacity_milli_per_s);
    void on_slow() { good_ = 0; }
    void on_overload();

    [[nodiscard]] bool warm() const { return warm_; }
    [[nodiscard]] std::uint64_t pace_milli_per_s() const { return pace_; }
    [[nodiscard]] base::instant next_start() const { return next_start_; }
    [[nodiscard]] base::duration interval() const;

private:
    std::uint64_t pace_ = first_pace;
    int good_ = 0;
    bool warm_ = false;
    base::instant next_start_;
};

} // namespace curranthoist::admission
