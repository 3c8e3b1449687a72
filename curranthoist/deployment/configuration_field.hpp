#pragma once

#include <cstdint>

namespace curranthoist::deployment {

// The fields of all kinds of entries of a configuration, so that a check or a comparison
// can name one without the words of the document that it came from.
enum class configuration_field : std::uint8_t
{
    // The entry as a whole.
    entry,
    version,
    // The list of teams as a whole.
    teams,
    name,
    host,
    path_prefix,
    repeat,
    time_limit,
    objective,
    priority,
    max_attempts,
    services,
    weight,
    shards,
    top_records,
    min_share,
    is_public,
    health_path,
    max_connections,
    cold_time,
    cold_requests_per_second,
    keys,
    rate,
    burst,
    max_header_bytes,
    max_body_bytes,
    header_timeout,
    idle_timeout,
};

} // namespace curranthoist::deployment
