#pragma once

#include "curranthoist/base/findings.hpp"
#include "curranthoist/control/intent.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace curranthoist::control {

// Reads an intent from its JSON form, such as {"kind": "zone_out", "zone": "nadi"}. Every
// mistake (wrong type, missing or unknown field) becomes a finding with its place below
// `place`; the result is usable only if there is none. Whether the intent fits the
// configuration is a matter for check_intent().
intent read_intent(const nlohmann::json& value, const std::string& place,
                   base::findings& found);

} // namespace curranthoist::control
