#pragma once

#include "curranthoist/consensus/replica_output.hpp"

#include <cstdint>
#include <deque>
#include <vector>

namespace curranthoist::consensus {

// Reads that wait for a quorum round that began after they were requested.
class read_queue
{
public:
    // Adds a read that needs `round` confirmed and sees everything up to `index`.
    void add(std::uint64_t token, std::uint64_t round, base::log_index index);
    [[nodiscard]] bool empty() const { return waiting_.empty(); }
    // The highest round that a read waits for; 0 if none waits.
    [[nodiscard]] std::uint64_t last_round() const;
    // The lowest round that a read waits for; 0 if none waits.
    [[nodiscard]] std::uint64_t first_round() const;
    // Moves the reads of rounds up to `round` to `results`; none of their indexes is
    // below `minimum`.
    void confirm_through(std::uint64_t round, base::log_index minimum,
                         std::vector<read_result>& results);
    // Moves all reads to `results` as not confirmed.
    void fail_all(std::vector<read_result>& results);

private:
    struct waiting_read
    {
        std::uint64_t token;
        std::uint64_t round;
        base::log_index index;
    };
    // Rounds do not decrease from front to back.
    std::deque<waiting_read> waiting_;
};

} // namespace curranthoist::consensus
