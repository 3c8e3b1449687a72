#pragma once

#include "curranthoist/base/identifiers.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace curranthoist::controld {

// The answer to an operator's request.
struct operator_response
{
    unsigned status = 200;
    std::string body;
    // For 307.
    std::string location;
};

// Either an answer, or a command whose result decides on it.
struct operator_result
{
    std::optional<operator_response> response;
    // If there is no response: propose this, and answer with confirm_response() when a
    // result for this intent id has been applied.
    std::vector<std::uint8_t> proposal;
    base::intent_id awaited;
};

} // namespace curranthoist::controld
