#pragma once

#include <cstddef>

namespace curranthoist::platform {
struct target_response;
} // namespace curranthoist::platform

namespace curranthoist::frontd {

// What is kept of such an answer beside the account for responses, at most.
[[nodiscard]] std::size_t kept_answer_bytes(std::size_t count);

// Reduces the successful answer of one shard to its `count` greatest records, since no
// other one can be among the greatest of all shards. Load pattern: queries wait for their
// last shards while long answers of the others are held.
void keep_greatest_records(platform::target_response& answer, std::size_t count);

} // namespace curranthoist::frontd
