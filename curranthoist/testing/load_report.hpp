#pragma once

#include "curranthoist/testing/answer_check.hpp"
#include "curranthoist/testing/latency_list.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace curranthoist::testing {

// Collects what became of each request of a load and prints it. Latencies are those of
// served requests, from the intended send time.
class load_report
{
public:
    // A request was sent `lag_us` after its intended time, which lies `at_us` after the
    // start of the load.
    void sent(const sent_request& request, std::int64_t at_us, std::int64_t lag_us);
    void answered(const sent_request& request, const checked_answer& answer,
                  std::int64_t at_us, std::int64_t latency_us);
    // No whole answer came; `error` says why.
    void failed(const sent_request& request, std::string_view error, std::int64_t at_us);

    // Answers that break a promise of the system.
    [[nodiscard]] std::uint64_t wrong_answers() const;
    // All figures. With `list_orders`, also what became of each order by its id.
    [[nodiscard]] nlohmann::json to_json(bool list_orders);
    [[nodiscard]] std::string to_text();

private:
    static constexpr std::size_t max_mistakes = 20;

    struct figures
    {
        std::uint64_t sent = 0;
        std::uint64_t served = 0;
        std::uint64_t partial = 0;
        std::uint64_t refused_not_run = 0;
        std::uint64_t refused_unknown = 0;
        std::uint64_t failed = 0;
        std::uint64_t wrong = 0;
        std::uint64_t shards_answered = 0;
        std::uint64_t shards_total = 0;
        latency_list latencies;
    };

    static nlohmann::json figures_json(figures& from);
    static void count_answer(figures& into, const checked_answer& answer,
                             std::int64_t latency_us);
    figures& totals(const sent_request& request);
    figures& interval(std::int64_t at_us);
    void note_order(const sent_request& request, const char* outcome);

    figures queries_;
    figures orders_;
    std::map<std::int64_t, figures> intervals_;
    std::map<std::string, std::uint64_t, std::less<>> errors_;
    std::vector<std::string> mistakes_;
    std::map<std::string, std::string> order_outcomes_;
    std::int64_t max_lag_us_ = 0;
};

} // namespace curranthoist::testing
