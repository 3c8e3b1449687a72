#pragma once

#include <cstdint>

namespace curranthoist::routing {

// Token bucket that limits a service's extra sends (hedges and retries together) to 5% of
// its first attempts. Each first attempt adds 0.05 tokens, and each extra send takes one
// token. The bucket holds at most 20 tokens, which bounds a burst. The bucket starts
// empty, so the limit holds from the first send.
class hedge_budget
{
public:
    static constexpr std::int64_t first_attempts_per_token = 20;
    static constexpr std::int64_t max_tokens = 20;
    // Tokens that only retries may take. The reserve covers the parts that fail at once
    // when an owner VM with 11 targets is lost, rounded to the nearest ten.
    static constexpr std::int64_t retry_reserve_tokens = 10;

    void on_first_attempts(std::int64_t count);
    // Takes a token for a retry. Returns false if the bucket holds no whole token.
    bool take();
    // Takes a token for a hedge. Returns false if the hedge would use the retry reserve.
    bool take_for_hedge();

private:
    // The tokens in the bucket, in units of 1/20 token.
    std::int64_t credit_ = 0;
};

} // namespace curranthoist::routing
