#pragma once

#include "curranthoist/base/identifiers.hpp"

#include <cstdint>
#include <string>

namespace curranthoist::deployment {

// Answers of a service's targets of one version, as one VM saw them.
struct version_answers
{
    base::service_id service;
    std::string version;
    std::uint64_t answers = 0;
    // Failures, answers that never came, and those that took far longer than usual.
    std::uint64_t bad = 0;
    // Requests that wait for their answer.
    std::uint32_t open = 0;
};

} // namespace curranthoist::deployment
