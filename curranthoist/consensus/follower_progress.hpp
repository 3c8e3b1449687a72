#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/instant.hpp"
#include "curranthoist/storage/log_snapshot.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>

namespace curranthoist::consensus {

// What the leader knows about one follower's log and what is under way to it.
//
// While probing, one request at a time looks for the point where the logs agree; then
// requests are pipelined up to a limit. A rejected request, which also follows a lost
// one, returns to probing.
class follower_progress
{
public:
    follower_progress(base::log_index next, base::instant now)
        : next_(next)
        , last_heard_(now)
    {}

    [[nodiscard]] base::log_index match() const { return match_; }
    [[nodiscard]] base::log_index next() const { return next_; }
    [[nodiscard]] std::uint64_t acknowledged_round() const { return round_; }
    [[nodiscard]] base::instant last_heard() const { return last_heard_; }
    // True if another request with entries may be sent.
    [[nodiscard]] bool may_send(std::size_t max_in_flight) const;

    // Records any message of the current term from the follower.
    void heard(std::uint64_t round, base::instant now);
    // Records that entries up to `last` were sent.
    void sent_through(base::log_index last);
    // Records that the follower's log is synced and equal up to `match`.
    void matched(base::log_index match);
    // Records a rejected request; `hint` is the follower's proposal where to try next.
    void rejected(base::log_index hint);
    // Allows the next probe; called once per heartbeat, in case the last one was lost.
    void allow_probe() { probe_in_flight_ = false; }

    // The log snapshot being sent; null if none is.
    [[nodiscard]] const std::shared_ptr<const storage::log_snapshot>& snapshot() const
    {
        return snapshot_;
    }
    [[nodiscard]] std::uint64_t snapshot_offset() const { return snapshot_offset_; }
    void start_snapshot(std::shared_ptr<const storage::log_snapshot> snapshot);
    // True if the chunk at snapshot_offset() was not sent within `retry` before now.
    [[nodiscard]] bool chunk_due(base::instant now, base::duration retry) const;
    void chunk_sent(base::instant now) { chunk_sent_at_ = now; }
    // Records that the follower holds `next_offset` bytes of the log snapshot.
    void chunk_acknowledged(std::uint64_t next_offset);

private:
    base::log_index match_;
    base::log_index next_;
    bool probing_ = true;
    bool probe_in_flight_ = false;
    // The last index of each request under way.
    std::deque<base::log_index> in_flight_;
    std::uint64_t round_ = 0;
    base::instant last_heard_;
    std::shared_ptr<const storage::log_snapshot> snapshot_;
    std::uint64_t snapshot_offset_ = 0;
    base::instant chunk_sent_at_{-1'000'000};
};

} // namespace curranthoist::consensus
