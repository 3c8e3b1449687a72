#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/instant.hpp"

#include <cstdint>
#include <unordered_map>

namespace curranthoist::routing {

// The load of a target, as far as a coordinator knows it.
struct target_load
{
    // The number of running and waiting requests in the owner's last report.
    std::uint32_t reported = 0;
    // The number of parts that this VM sent and that still need a reply.
    std::uint32_t outstanding = 0;
    base::duration service_time;
    base::instant last_sent;

    // The sum is 64 bits wide, because a peer may report any 32-bit number.
    [[nodiscard]] std::uint64_t total() const
    {
        return std::uint64_t{reported} + outstanding;
    }
};

// The loads of all targets that this VM sends to. The queries and orders of the VM share
// one table.
class load_table
{
public:
    [[nodiscard]] target_load of(const base::target_id& target) const;
    void on_sent(base::instant now, const base::target_id& target);
    // Records that a sent part no longer needs a reply.
    void on_done(const base::target_id& target);
    // Records the load values of a reply. A service time of 0 means that the target did
    // not run the part, and keeps the earlier service time.
    void on_report(const base::target_id& target, std::uint32_t queue_length,
                   base::duration service_time);

private:
    std::unordered_map<base::target_id, target_load> loads_;
};

} // namespace curranthoist::routing
