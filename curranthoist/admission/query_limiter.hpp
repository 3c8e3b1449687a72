#pragma once

#include "curranthoist/base/instant.hpp"

#include <concepts>
#include <cstdint>

namespace curranthoist::admission {

template <class Limiter>
concept query_admission = requires(Limiter limiter, base::instant now, bool shed,
                                   std::uint32_t queue)
{
    {
        limiter.try_start(now)
        } -> std::same_as<bool>;
    limiter.on_part(now, shed, queue);
    limiter.on_finish(now);
};

struct query_limiter_options
{
    double first_limit = 64;
    double lowest_limit = 1;
    double highest_limit = 4096;
    // The share of shed parts above which the limit falls. A service that demands
    // complete coverage uses a lower one, because one shed part spoils a whole query
    // there.
    double shed_share = 0.1;
    // The mean of the owners' queue lengths above which the limit stops growing.
    double full_queue = 4;
};

// Adaptive concurrency of one query service at one entry VM: refuses queries whose parts
// the owners would shed. After a zone change or a cold restart the surviving targets are
// then offered only what they can run, not the whole service's load:
//
//     if (!limiter.try_start(now)) { refuse, "not run" }
//     limiter.on_part(now, reply_was_shed, queue_length);   // each reply
//     limiter.on_finish(now);                               // once a started query
class query_limiter
{
public:
    // Sheds are judged over intervals; within one the limit falls at most once.
    static constexpr base::duration interval{100};

    explicit query_limiter(const query_limiter_options& options = {})
        : options_(options)
        , limit_(options.first_limit)
    {}

    // True if a query may start; it then runs until on_finish().
    bool try_start(base::instant now);
    // A part's reply: whether it was shed, and the queue length that its owner reported.
    void on_part(base::instant now, bool shed, std::uint32_t queue_length);
    void on_finish(base::instant now);

    [[nodiscard]] std::uint32_t limit() const
    {
        return static_cast<std::uint32_t>(limit_);
    }
    [[nodiscard]] std::uint32_t running() const { return running_; }

private:
    void adjust(base::instant now);

    query_limiter_options options_;
    double limit_;
    std::uint32_t running_ = 0;
    std::uint32_t highest_running_ = 0;
    base::instant interval_end_;
    std::uint64_t parts_ = 0;
    std::uint64_t shed_parts_ = 0;
    std::uint64_t queued_ = 0;
};

// Baseline: every query starts.
struct no_query_limit
{
    bool try_start(base::instant) { return true; }
    void on_part(base::instant, bool, std::uint32_t) {}
    void on_finish(base::instant) {}
};

} // namespace curranthoist::admission
