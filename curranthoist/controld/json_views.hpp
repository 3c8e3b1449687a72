#pragma once

#include "curranthoist/base/findings.hpp"
#include "curranthoist/control/configuration.hpp"
#include "curranthoist/control/decision.hpp"
#include "curranthoist/control/intent_outcome.hpp"
#include "curranthoist/control/plan.hpp"

#include <nlohmann/json.hpp>

namespace curranthoist::controld {

// The JSON forms that operators see.
nlohmann::json to_json(const base::findings& found);
nlohmann::json to_json(const control::plan& value);
nlohmann::json to_json(const control::decision& value);
nlohmann::json to_json(const control::configuration& value);

} // namespace curranthoist::controld
