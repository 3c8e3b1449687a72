#include "curranthoist/consensus/read_queue.hpp"

#include <algorithm>

namespace curranthoist::consensus {

void read_queue::add(std::uint64_t token, std::uint64_t round, base::log_index index)
{
    waiting_.push_back({token, round, index});
}

std::uint64_t read_queue::last_round() const
{
    return waiting_.empty() ? 0 : waiting_.back().round;
}

std::uint64_t read_queue::first_round() const
{
    return waiting_.empty() ? 0 : waiting_.front().round;
}

void read_queue::confirm_through(std::uint64_t round, base::log_index minimum,
                                 std::vector<read_result>& results)
{
    while (!waiting_.empty() && waiting_.front().round <= round) {
        const waiting_read& read = waiting_.front();
        results.push_back({read.token, true, std::max(read.index, minimum)});
        waiting_.pop_front();
    }
}

void read_queue::fail_all(std::vector<read_result>& results)
{
    for (const waiting_read& read : waiting_) {
        results.push_back({read.token, false, {}});
    }
    waiting_.clear();
}

} // namespace curranthoist::consensus
