#pragma once

#include "curranthoist/base/instant.hpp"

#include <cstddef>
#include <cstdint>

namespace curranthoist::entry {

enum class stop_phase : std::uint8_t
{
    serving,
    // /ready says 503; requests are still served until the load balancer has noticed.
    leaving,
    // New requests are refused; running ones finish.
    finishing,
    // Owned targets are being released.
    releasing,
    // Everything is done: exit with success.
    finished,
    // The stop limit passed first: exit with an error.
    overdue
};

// The phases of a graceful stop. Pure: the caller passes time and what still runs.
class stop_controller
{
public:
    stop_controller(base::duration balancer_delay, base::duration stop_limit)
        : balancer_delay_(balancer_delay)
        , stop_limit_(stop_limit)
    {}

    // A stop was asked for; a second time it has no effect.
    void begin(base::instant now);
    // `running`: requests of callers and of other VMs. `owned`: targets whose release the
    // leader has not confirmed.
    void on_time(base::instant now, std::size_t running, std::size_t owned);

    [[nodiscard]] stop_phase phase() const { return phase_; }
    [[nodiscard]] bool stopping() const { return phase_ != stop_phase::serving; }
    // True once new requests of callers are refused.
    [[nodiscard]] bool refusing() const { return phase_ > stop_phase::leaving; }

private:
    base::duration balancer_delay_;
    base::duration stop_limit_;
    stop_phase phase_ = stop_phase::serving;
    base::instant begun_;
};

} // namespace curranthoist::entry
