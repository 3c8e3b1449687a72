#pragma once

namespace curranthoist::control {

// What operators declare about one availability zone.
struct zone_spec
{
    bool in_service = true;

    bool operator==(const zone_spec&) const = default;
};

} // namespace curranthoist::control
