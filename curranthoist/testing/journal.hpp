#pragma once

#include "curranthoist/testing/run_record.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace curranthoist::testing {

// What a stand-in target did: the oracle of the tests. All order runs are kept; of the
// part runs only the latest, and figures of all.
class journal
{
public:
    explicit journal(std::size_t max_parts)
        : max_parts_(max_parts)
    {}

    // A run begins; returns its number for finish().
    std::uint64_t begin(run_record record, std::size_t slots_in_use);
    void finish(std::uint64_t run, std::int64_t end_ms, run_end end);
    // Counts an event by name, such as "shed_slots" or "excess_connections".
    void count(std::string_view event) { ++events_[std::string(event)]; }
    void note_connections(std::size_t open);

    // One JSON object a line: first the part runs that are kept, then all order runs.
    [[nodiscard]] std::string lines() const;
    // Aggregated figures.
    [[nodiscard]] nlohmann::json summary() const;

private:
    // Seconds and snapshot versions that are counted one by one; older ones are dropped.
    static constexpr std::size_t max_seconds = 3600;
    static constexpr std::size_t max_snapshots = 256;

    struct totals
    {
        std::uint64_t started = 0;
        std::uint64_t completed = 0;
        std::uint64_t cancelled = 0;
        std::int64_t busy_ms = 0;
        std::int64_t last_start_ms = 0;
    };

    void count_start(const run_record& record);

    std::size_t max_parts_;
    std::uint64_t last_run_ = 0;
    std::map<std::uint64_t, run_record> parts_;
    std::map<std::uint64_t, run_record> orders_;
    std::map<std::string, std::uint64_t> order_runs_;
    std::uint64_t duplicate_orders_ = 0;
    totals part_totals_;
    totals order_totals_;
    std::size_t peak_slots_ = 0;
    std::size_t peak_connections_ = 0;
    std::map<std::string, std::uint64_t> events_;
    std::map<std::int64_t, std::uint64_t> starts_by_second_;
    std::map<std::uint64_t, std::uint64_t> starts_by_snapshot_;
};

} // namespace curranthoist::testing
