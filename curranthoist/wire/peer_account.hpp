#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/base/logger.hpp"
#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/wire/frame_codec.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace curranthoist::wire {

class peer_connection;

namespace internal {
struct peer_load;
}

// Limits the accepted connections of one port between processes: their number, and the
// memory of frames that arrive and frames that wait until the other end reads them. Load
// pattern: whoever can reach the port opens many connections, sends frames that stop
// short of their end, or leaves frames unread.
//
// A connection takes memory from the account before it holds it. What does not fit makes
// another connection give way, which internal/peer_load chooses, or is refused. Frames of
// up to 4 KiB on a connection are not counted.
//
//     auto account = std::make_shared<peer_account>(peer_account::limits{2000, 20 <<
//     20}); peer_connection accepted(loop, descriptor, on_message, on_close, account);
class peer_account
{
public:
    // What a connection may hold without being counted: of a frame that arrives, and of
    // frames that wait.
    static constexpr std::size_t uncounted_connection_bytes = std::size_t{8} * 1024;

    struct limits
    {
        std::size_t max_connections = 2048;
        // Must hold the longest frame.
        std::size_t max_bytes = std::size_t{64} * 1024 * 1024;
        // Of a frame that arrives; a connection with a longer one is closed.
        std::size_t max_frame_bytes = max_envelope_bytes;
    };

    explicit peer_account(limits values)
        : limits_(values)
    {}
    peer_account(const peer_account&) = delete;
    peer_account& operator=(const peer_account&) = delete;

    [[nodiscard]] std::size_t max_frame_bytes() const { return limits_.max_frame_bytes; }
    [[nodiscard]] std::size_t connections() const { return connections_.size(); }
    [[nodiscard]] std::size_t held_bytes() const { return held_bytes_; }
    // Connections that were closed for others, or for want of memory.
    [[nodiscard]] std::size_t gave_way() const { return gave_way_; }

private:
    friend class peer_connection;

    // The connection that is added gives way itself if no other one may.
    void add(peer_connection& added);
    void remove(const peer_connection& ended);
    // Counts `more` bytes; returns false if they don't fit and `by` has to give way.
    bool take(const peer_connection& by, std::size_t more);
    void give_back(std::size_t bytes) { held_bytes_ -= bytes; }
    [[nodiscard]] std::vector<internal::peer_load> loads() const;
    // Logs at most once a second.
    void count_one();

    limits limits_;
    std::vector<peer_connection*> connections_;
    std::size_t held_bytes_ = 0;
    std::size_t gave_way_ = 0;
    std::optional<base::instant> logged_at_;
    base::monotonic_clock clock_;
    base::logger log_{"peers"};
};

} // namespace curranthoist::wire
