#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/instant.hpp"

#include <cstdint>
#include <unordered_map>

namespace curranthoist::routing {

// What a coordinator knows of a target's load.
struct target_load
{
    // Running and waiting, as its owner last reported.
    std::uint32_t reported = 0;
    // This VM's own parts without a reply.
    std::uint32_t outstanding = 0;
    base::duration service_time;
    base::instant last_sent;

    // Wider than its parts, because a peer may report any number.
    [[nodiscard]] std::uint64_t total() const
    {
        return std::uint64_t{reported} + outstanding;
    }
};

// The loads of all targets that this VM sends to, shared by its queries and orders.
class load_table
{
public:
    [[nodiscard]] target_load of(const base::target_id& target) const;
    void on_sent(base::instant now, const base::target_id& target);
    // A sent part needs no reply any more.
    void on_done(const base::target_id& target);
    // A reply's figures. A service time of 0 (no run) keeps the earlier one.
    void on_report(const base::target_id& target, std::uint32_t queue_length,
                   base::duration service_time);

private:
    std::unordered_map<base::target_id, target_load> loads_;
};

} // namespace curranthoist::routing
