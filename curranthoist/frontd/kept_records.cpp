#include "curranthoist/frontd/kept_records.hpp"

#include "curranthoist/forwarding/record_merge.hpp"
#include "curranthoist/platform/caller_exchange.hpp"

#include <algorithm>
#include <span>
#include <string_view>

namespace curranthoist::frontd {

std::size_t kept_answer_bytes(std::size_t count)
{
    constexpr std::size_t max_records =
        http::small_content_bytes / forwarding::record_bytes;
    return std::min(count, max_records) * forwarding::record_bytes;
}

void keep_greatest_records(platform::target_response& answer, std::size_t count)
{
    const std::string_view body = answer.content.body;
    answer.content.body = forwarding::merge_records(std::span(&body, 1), count);
    answer.content.headers = {};
    if (answer.content.body.size() <= http::small_content_bytes) {
        answer.content.held_memory.reset();
    }
}

} // namespace curranthoist::frontd
