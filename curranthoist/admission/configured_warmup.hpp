#pragma once

#include "curranthoist/admission/gradual_warmup.hpp"
#include "curranthoist/admission/immediate_warmup.hpp"
#include "curranthoist/admission/warmup_policy.hpp"

#include <optional>
#include <string_view>
#include <variant>

namespace curranthoist::admission {

// Warm-up policy selected by a setting: "paced" (gradual_warmup, the default) or
// "immediate" (immediate_warmup). The class is itself a warm-up policy, so that one
// instantiation of target_admission serves both.
class configured_warmup
{
public:
    configured_warmup() = default;
    // Returns std::nullopt if no policy has this name.
    [[nodiscard]] static std::optional<configured_warmup> named(std::string_view name);

    void turn_cold(base::instant now)
    {
        std::visit([&](auto& policy) { policy.turn_cold(now); }, policy_);
    }
    void restore(std::uint64_t pace_milli_per_s, bool warm)
    {
        std::visit([&](auto& policy) { policy.restore(pace_milli_per_s, warm); },
                   policy_);
    }
    void on_start(base::instant now)
    {
        std::visit([&](auto& policy) { policy.on_start(now); }, policy_);
    }
    void on_fast_response(std::uint64_t capacity_milli_per_s)
    {
        std::visit([&](auto& policy) { policy.on_fast_response(capacity_milli_per_s); },
                   policy_);
    }
    void on_slow_response()
    {
        std::visit([](auto& policy) { policy.on_slow_response(); }, policy_);
    }
    void on_overload()
    {
        std::visit([](auto& policy) { policy.on_overload(); }, policy_);
    }
    [[nodiscard]] bool warm() const
    {
        return std::visit([](const auto& policy) { return policy.warm(); }, policy_);
    }
    [[nodiscard]] std::uint64_t pace_milli_per_s() const
    {
        return std::visit([](const auto& policy) { return policy.pace_milli_per_s(); },
                          policy_);
    }
    [[nodiscard]] base::instant next_start() const
    {
        return std::visit([](const auto& policy) { return policy.next_start(); },
                          policy_);
    }
    [[nodiscard]] base::duration interval() const
    {
        return std::visit([](const auto& policy) { return policy.interval(); }, policy_);
    }

private:
    std::variant<gradual_warmup, immediate_warmup> policy_;
};

} // namespace curranthoist::admission
