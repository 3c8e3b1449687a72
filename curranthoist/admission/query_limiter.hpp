#pragma once

#include "curranthoist/base/instant.hpp"

#include <concepts>
#include <cstdint>

namespace curranthoist::admission {

// Decides which queries may start.
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
    double initial_limit = 64;
    double min_limit = 1;
    double max_limit = 4096;
    // The ratio of shed parts above which the limit falls. A service that demands
    // complete coverage uses a lower ratio, because a single shed part makes its whole
    // query fail.
    double max_shed_ratio = 0.1;
    // The mean of the queue lengths reported by the owners above which the limit stops
    // growing.
    double max_mean_queue_length = 4;
};

// Adaptive concurrency limit of one query service at one entry VM. It refuses queries
// whose parts the owners would shed. After a zone change or a cold restart, the surviving
// targets then receive only the load that they can run, not the load of the whole
// service:
//
//     if (!limiter.try_start(now)) { refuse the query as "not run" }
//     limiter.on_part(now, reply_was_shed, queue_length);   // for each part's reply
//     limiter.on_finish(now);                               // once per started query
class query_limiter
{
public:
    // The limit changes at most once per interval, from the parts that replied within it.
    static constexpr base::duration adjustment_interval{100};

    explicit query_limiter(const query_limiter_options& options = {})
        : options_(options)
        , limit_(options.initial_limit)
    {}

    // Returns true if a query may start. The query then counts as running until
    // on_finish().
    bool try_start(base::instant now);
    // Records a part's reply: whether the part was shed, and the queue length that its
    // owner reported.
    void on_part(base::instant now, bool shed, std::uint32_t queue_length);
    // A started query ended.
    void on_finish(base::instant now);

    // The number of queries that may run at the same time.
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
    std::uint32_t peak_running_ = 0;
    base::instant interval_end_;
    std::uint64_t parts_ = 0;
    std::uint64_t shed_parts_ = 0;
    std::uint64_t queue_length_sum_ = 0;
};

// Baseline without a limit: every query starts.
struct no_query_limit
{
    bool try_start(base::instant) { return true; }
    void on_part(base::instant, bool, std::uint32_t) {}
    void on_finish(base::instant) {}
};

} // namespace curranthoist::admission
