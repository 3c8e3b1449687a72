#pragma once

#include <cstdint>
#include <string>

namespace curranthoist::entry {

enum class request_outcome : std::uint8_t
{
    // It is certain that this request did not run.
    not_run,
    // It may have run.
    unknown
};

// Why a caller's request gets no result.
struct refusal
{
    unsigned status = 503;
    std::string error;
    request_outcome outcome = request_outcome::not_run;

    bool operator==(const refusal&) const = default;
};

} // namespace curranthoist::entry
