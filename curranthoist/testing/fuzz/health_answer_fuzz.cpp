#include "curranthoist/platform/caller_exchange.hpp"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <span>
#include <string>
#include <string_view>

// An answer to a health check. The input is its status in two bytes, and header lines. A
// pause or a cold time is never negative, and a target that leaves is not healthy.

namespace curranthoist::testing::fuzz {

namespace {

void require(bool holds)
{
    if (!holds) {
        std::abort();
    }
}

http::target_result result_of(std::span<const std::uint8_t> input)
{
    http::target_result result;
    result.outcome = http::call_outcome::ok;
    if (input.size() >= 2) {
        result.status = input[0] * 256U + input[1];
        input = input.subspan(2);
    }
    std::string_view lines(reinterpret_cast<const char*>(input.data()), input.size());
    while (!lines.empty()) {
        const std::string_view line = lines.substr(0, lines.find('\n'));
        lines.remove_prefix(std::min(line.size() + 1, lines.size()));
        if (const std::size_t colon = line.find(':'); colon != std::string_view::npos) {
            result.headers[std::string(line.substr(0, colon))] = line.substr(colon + 1);
        }
    }
    return result;
}

void run(std::span<const std::uint8_t> input)
{
    const http::target_result result = result_of(input);
    const platform::health_answer answer = platform::decode_health_answer(result);
    require(answer.remaining_cold_time >= base::duration());
    require(answer.notice.pause >= base::duration());
    require(!(answer.healthy && answer.notice.leaving));
    // The same headers in an answer to a request.
    const platform::target_response response = platform::decode_target_result(result);
    require(response.notice.leaving == answer.notice.leaving);
    require(response.notice.pause == answer.notice.pause);
}

} // namespace

} // namespace curranthoist::testing::fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    curranthoist::testing::fuzz::run({data, size});
    return 0;
}
