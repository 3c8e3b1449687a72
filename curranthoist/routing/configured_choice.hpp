#pragma once

#include "curranthoist/routing/replica_choice.hpp"

#include <optional>
#include <string_view>
#include <variant>

namespace curranthoist::routing {

// The replica choice policy that a setting selects: "power_of_two", "random" or
// "round_robin".
class configured_choice
{
public:
    configured_choice() = default;
    // Returns nullopt if no policy has this name.
    [[nodiscard]] static std::optional<configured_choice> named(std::string_view name);

    std::size_t choose(std::span<const candidate> candidates, base::instant now,
                       base::random_source& random)
    {
        return std::visit(
            [&](auto& policy) { return policy.choose(candidates, now, random); },
            policy_);
    }

    // Sets the number of VMs that choose among the same replicas. A count of 0 is taken
    // as 1.
    void set_vm_count(std::size_t count)
    {
        if (auto* const policy = std::get_if<power_of_two>(&policy_)) {
            policy->set_vm_count(count);
        }
    }

private:
    std::variant<power_of_two, random_replica, round_robin> policy_;
};

} // namespace curranthoist::routing
