#include "curranthoist/admission/configured_limits.hpp"

namespace curranthoist::admission {

std::optional<configured_limits> configured_limits::named(std::string_view name)
{
    configured_limits chosen;
    if (name == "none") {
        chosen.policy_ = no_admission();
        return chosen;
    }
    return name == "owned" ? std::optional(chosen) : std::nullopt;
}

} // namespace curranthoist::admission
