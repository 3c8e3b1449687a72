#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/routing/load_table.hpp"

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string_view>

namespace curranthoist::routing {

// Decides whether and when a part without a reply is also sent to another replica.
template <class Policy>
concept hedging = requires(const Policy& policy, base::duration p95, target_load load)
{
    // Returns the time after the send at which to hedge, or nullopt to never hedge. `p95`
    // is the 95th percentile of the latencies of the service's parts.
    {
        policy.delay(p95)
        } -> std::same_as<std::optional<base::duration>>;
    {
        policy.accepts(load)
        } -> std::same_as<bool>;
};

// The production policy: hedges after twice the p95, to a replica that is not loaded. A
// hedge after the p95 itself would cover 5% of ordinary parts, which is the whole budget
// and would leave nothing for parts at stragglers.
struct hedge_after_p95
{
    static constexpr std::int64_t p95_factor = 2;
    // With a shorter delay, a timer with millisecond resolution hedges ordinary parts.
    static constexpr base::duration min_delay{2};
    // A replica with at least this many requests counts as loaded: the usual slots are
    // taken, and a hedge would only wait.
    static constexpr std::uint32_t loaded_request_count = 2;

    [[nodiscard]] std::optional<base::duration> delay(base::duration p95) const
    {
        return std::max(min_delay, p95 * p95_factor);
    }
    [[nodiscard]] bool accepts(const target_load& load) const
    {
        return load.total() < loaded_request_count;
    }
};

// Baseline: never hedges.
struct no_hedge
{
    [[nodiscard]] std::optional<base::duration> delay(base::duration) const { return {}; }
    [[nodiscard]] bool accepts(const target_load&) const { return false; }
};

// The hedging policy that a setting selects: "p95" or "none".
class configured_hedging
{
public:
    configured_hedging() = default;
    // Returns nullopt if no policy has this name.
    [[nodiscard]] static std::optional<configured_hedging> named(std::string_view name)
    {
        if (name != "p95" && name != "none") {
            return {};
        }
        configured_hedging chosen;
        chosen.enabled_ = name == "p95";
        return chosen;
    }

    [[nodiscard]] std::optional<base::duration> delay(base::duration p95) const
    {
        return enabled_ ? hedge_after_p95().delay(p95) : no_hedge().delay(p95);
    }
    [[nodiscard]] bool accepts(const target_load& load) const
    {
        return enabled_ && hedge_after_p95().accepts(load);
    }

private:
    bool enabled_ = true;
};

} // namespace curranthoist::routing
