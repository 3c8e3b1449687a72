#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/instant.hpp"
#include "curranthoist/control/service_spec.hpp"

#include <optional>

namespace curranthoist::entry {

// What the filters learn about a caller's request, step by step. It is complete when all
// have passed.
struct admitted_request
{
    control::service_kind kind = control::service_kind::query;
    base::service_id service;
    control::service_spec spec;
    base::request_id id;
    // The Deadline-Ms of the request, if it has one.
    std::optional<base::duration> asked_time;
    // By the monotonic clock.
    base::instant deadline;
};

} // namespace curranthoist::entry
