#include "curranthoist/admission/configured_warmup.hpp"

namespace curranthoist::admission {

std::optional<configured_warmup> configured_warmup::named(std::string_view name)
{
    configured_warmup result;
    if (name == "immediate") {
        result.policy_ = immediate_warmup();
        return result;
    }
    return name == "paced" ? std::optional(result) : std::nullopt;
}

} // namespace curranthoist::admission
