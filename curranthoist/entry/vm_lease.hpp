#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/instant.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace curranthoist::entry {

// This VM's lease as the heartbeats and their replies establish it. Pure: the caller
// passes the monotonic time.
//
//     const std::uint64_t sequence = lease.on_heartbeat_sent(now);
//     lease.on_reply(sequence, granted, revision_in_force);
//     if (now < lease.end(applied_revision)) { ... }
class vm_lease
{
public:
    // How long a grant is valid, from the moment the heartbeat was sent.
    static constexpr base::duration length{4000};

    // Returns the sequence number of the heartbeat that is sent now.
    std::uint64_t on_heartbeat_sent(base::instant now);
    // A leader's reply. A reply to a heartbeat of an earlier session is ignored and
    // returns false.
    bool on_reply(std::uint64_t sequence, bool granted, base::revision in_force);
    // A new session begins: replies to earlier heartbeats can't arrive any more.
    void on_session_opened() { unanswered_.clear(); }

    // When the lease ends. It has not begun, and the result lies in the past, until the
    // first revision that a leader named is applied.
    [[nodiscard]] base::instant end(base::revision applied) const;
    // When the oldest heartbeat without a reply was sent.
    [[nodiscard]] std::optional<base::instant> oldest_unanswered() const;

private:
    std::uint64_t last_sequence_ = 0;
    std::map<std::uint64_t, base::instant> unanswered_;
    std::optional<base::revision> required_;
    base::instant end_;
};

} // namespace curranthoist::entry
