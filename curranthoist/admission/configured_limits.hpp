#pragma once

#include "curranthoist/admission/limit_policy.hpp"

#include <optional>
#include <string_view>
#include <variant>

namespace curranthoist::admission {

// Limit policy selected by a setting: "owned" (owned_limits, the default) or "none"
// (no_admission).
class configured_limits
{
public:
    configured_limits() = default;
    // Returns std::nullopt if no policy has this name.
    [[nodiscard]] static std::optional<configured_limits> named(std::string_view name);

    [[nodiscard]] owner_limits limits(std::uint32_t slots,
                                      std::uint32_t connections) const
    {
        return std::visit(
            [&](const auto& policy) { return policy.limits(slots, connections); },
            policy_);
    }

private:
    std::variant<owned_limits, no_admission> policy_;
};

} // namespace curranthoist::admission
