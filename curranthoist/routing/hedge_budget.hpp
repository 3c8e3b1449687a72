#pragma once

#include <cstdint>

namespace curranthoist::routing {

// Limits a service's extra sends (hedges and retries together) to 5% of its first
// attempts: each first attempt adds 0.05 tokens, an extra send takes one, and at most 20
// are kept, which bounds a burst. It starts empty, so the cap holds from the first send.
class hedge_budget
{
public:
    static constexpr std::int64_t first_attempts_per_token = 20;
    static constexpr std::int64_t most_tokens = 20;
    // What one owner VM with 11 targets loses at once, to the nearest ten.
    static constexpr std::int64_t kept_for_retries = 10;

    void on_first_attempts(std::int64_t count);
    // Takes a token for a retry; false if there is none.
    bool take();
    // Takes a token for a hedge; false if that would use the reserve.
    bool take_for_hedge();

private:
    // In units of 1/20 token.
    std::int64_t credit_ = 0;
};

} // namespace curranthoist::routing
