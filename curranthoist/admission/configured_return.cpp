#include "curranthoist/admission/configured_return.hpp"

namespace curranthoist::admission {

std::optional<configured_return> configured_return::named(std::string_view name)
{
    configured_return chosen;
    if (name == "immediate") {
        chosen.policy_ = immediate_return();
        return chosen;
    }
    return name == "paced" ? std::optional(chosen) : std::nullopt;
}

} // namespace curranthoist::admission
