#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/wire/generated/messages_generated.h"

#include <cstdint>
#include <map>

namespace curranthoist::entry {

// The facts of the targets that this VM owns, and which of them the leader still has to
// learn. A fact is repeated in each heartbeat until one that carried it is answered.
class fact_outbox
{
public:
    // Replaces a target's fact. Nothing is sent if it is equal to the present one.
    void set(const wire::target_fact_message& fact);
    // The target is not owned any more.
    void remove(const base::target_id& target) { facts_.erase(target); }
    // The next heartbeat carries every fact: for a new session, or on request.
    void send_all() { full_ = true; }

    // Adds what is due to the heartbeat, whose sequence must be set.
    void fill(wire::heartbeat_message& heartbeat);
    // The heartbeat with that sequence was answered.
    void on_answered(std::uint64_t sequence);

private:
    struct entry
    {
        wire::target_fact_message fact;
        bool due = true;
        // The last heartbeat that carried it.
        std::uint64_t carried_by = 0;
    };

    std::map<base::target_id, entry> facts_;
    bool full_ = true;
    std::uint64_t full_carried_by_ = 0;
};

} // namespace curranthoist::entry
