#pragma once

#include "curranthoist/ctl/options.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace curranthoist::ctl {

// The intents that the command line names, in order: a file with one or a list, a JSON
// object, or words such as `set_limit service=order-book slots=4`. Throws
// base::findings_error if there is none or one can't be read; whether the fields make
// sense is checked by the control process.
std::vector<nlohmann::json> read_intents(const options& chosen);

// A new intent id: the time in milliseconds and a random part.
std::string new_intent_id();

} // namespace curranthoist::ctl
