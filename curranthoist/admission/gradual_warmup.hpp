#pragma once

#include "curranthoist/base/instant.hpp"

#include <cstdint>

namespace curranthoist::admission {

// Default warm-up policy: limits the starts of requests to a rate that grows with fast
// responses. The rate starts at 5/s, grows by half after 8 consecutive fast responses and
// is halved after a shed or a timeout. The target is warm once the rate exceeds its
// capacity. All rates are in requests per 1,000 s.
class gradual_warmup
{
public:
    static constexpr std::uint64_t initial_warmup_rate = 5'000;
    // A target that fails all requests still receives one request per second, so that it
    // can show its recovery.
    static constexpr std::uint64_t min_warmup_rate = 1'000;
    static constexpr int fast_responses_per_increase = 8;

    void turn_cold(base::instant now);
    void restore(std::uint64_t pace_milli_per_s, bool warm);
    void on_start(base::instant now);
    void on_fast_response(std::uint64_t capacity_milli_per_s);
    void on_slow_response() { consecutive_fast_responses_ = 0; }
    void on_overload();

    [[nodiscard]] bool warm() const { return warm_; }
    [[nodiscard]] std::uint64_t pace_milli_per_s() const { return warmup_rate_; }
    [[nodiscard]] base::instant next_start() const { return next_start_; }
    [[nodiscard]] base::duration interval() const;

private:
    std::uint64_t warmup_rate_ = initial_warmup_rate;
    int consecutive_fast_responses_ = 0;
    bool warm_ = false;
    base::instant next_start_;
};

} // namespace curranthoist::admission
