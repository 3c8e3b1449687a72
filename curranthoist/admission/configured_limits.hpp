#pragma once

#include "curranthoist/admission/limit_policy.hpp"

#include <optional>
#include <string_view>
#include <variant>

namespace curranthoist::admission {

// The limit policy that a setting names: "owned" or "none".
class configured_limits
{
public:
    configured_limits() = default;
    // Nothing if the name is unknown.
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
