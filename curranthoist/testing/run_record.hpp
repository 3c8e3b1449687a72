#pragma once

#include <cstdint>
#include <string>

namespace curranthoist::testing {

// How a run at a stand-in target ended.
enum class run_end
{
    running,
    completed,
    cancelled,
};

// One request that a stand-in target ran. Times are wall-clock milliseconds, so that the
// journals of several targets can be compared.
struct run_record
{
    std::string request_id;
    bool is_order = false;
    // 0 for orders.
    std::uint64_t snapshot = 0;
    std::int64_t start_ms = 0;
    std::int64_t end_ms = 0;
    run_end end = run_end::running;
};

} // namespace curranthoist::testing
