#include "curranthoist/admission/configured_limits.hpp"

namespace curranthoist::admission {

std::optional<configured_limits> configured_limits::named(std::string_view name)
{
    configured_limits result;
    if (name == "none") {
        result.policy_ = no_admission();
        return result;
    }
    return name == "owned" ? std::optional(result) : std::nullopt;
}

} // namespace curranthoist::admission
