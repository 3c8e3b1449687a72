#include "curranthoist/routing/configured_choice.hpp"

namespace curranthoist::routing {

std::optional<configured_choice> configured_choice::named(std::string_view name)
{
    configured_choice chosen;
    if (name == "random") {
        chosen.policy_ = random_replica();
        return chosen;
    }
    if (name == "round_robin") {
        chosen.policy_ = round_robin();
        return chosen;
    }
    return name == "power_of_two" ? std::optional(chosen) : std::nullopt;
}

} // namespace curranthoist::routing
