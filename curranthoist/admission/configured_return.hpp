#pragma once

#include "curranthoist/admission/immediate_return.hpp"
#include "curranthoist/admission/paced_return.hpp"
#include "curranthoist/admission/return_policy.hpp"

#include <optional>
#include <string_view>
#include <variant>

namespace curranthoist::admission {

// The return policy that a setting names: "paced" or "immediate". It is a return policy
// itself, so that one instantiation of target_admission serves both.
class configured_return
{
public:
    configured_return() = default;
    // Nothing if the name is unknown.
    [[nodiscard]] static std::optional<configured_return> named(std::string_view name);

    void turn_cold(base::instant now)
    {
        std::visit([&](auto& policy) { policy.turn_cold(now); }, policy_);
    }
    void inherit(std::uint64_t pace_milli_per_s, bool warm)
    {
        std::visit([&](auto& policy) { policy.inherit(pace_milli_per_s, warm); },
                   policy_);
    }
    void on_start(base::instant now)
    {
        std::visit([&](auto& policy) { policy.on_start(now); }, policy_);
    }
    void on_good(std::uint64_t capacity)
    {
        std::visit([&](auto& policy) { policy.on_good(capacity); }, policy_);
    }
    void on_slow()
    {
        std::visit([](auto& policy) { policy.on_slow(); }, policy_);
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
        return std::visit([](const auto& p) { return p.pace_milli_per_s(); }, policy_);
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
    std::variant<paced_return, immediate_return> policy_;
};

} // namespace curranthoist::admission
