#include "curranthoist/http/internal/response_builder.hpp"

#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/http/internal/response_body.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace curranthoist::http::internal {

namespace {

// A body that ends with an error once `end` bytes are sent.
struct broken_body
{
    std::string bytes;
    std::size_t end;
};

ssize_t read_broken_body(void* source, std::uint64_t position, char* buffer,
                         std::size_t size)
{
    const auto& body = *static_cast<broken_body*>(source);
    if (position >= body.end) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    return static_cast<ssize_t>(
        body.bytes.copy(buffer, std::min(size, body.end - position), position));
}

void free_broken_body(void* source)
{
    delete static_cast<broken_body*>(source);
}

ssize_t read_body(void* source, std::uint64_t position, char* buffer, std::size_t size)
{
    response_body& body = **static_cast<std::shared_ptr<response_body>*>(source);
    if (body.released || position >= body.bytes.size()) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    body.last_read = base::monotonic_clock().now();
    return static_cast<ssize_t>(body.bytes.copy(buffer, size, position));
}

void free_body(void* source)
{
    delete static_cast<std::shared_ptr<response_body>*>(source);
}

} // namespace

caller_response refusal(unsigned status, std::string_view error)
{
    return {.status = status,
            .body = R"({"error":")" + std::string(error) + R"(","outcome":"not run"})"};
}

MHD_Response* make_response(std::shared_ptr<response_body> body)
{
    constexpr std::size_t block_size = std::size_t{16} * 1024;
    const std::size_t size = body->bytes.size();
    auto* source = new std::shared_ptr<response_body>(std::move(body));
    return MHD_create_response_from_callback(size, block_size, &read_body, source,
                                             &free_body);
}

MHD_Response* make_response(const caller_response& answer)
{
    constexpr std::size_t block_size = 4096;
    if (answer.break_after) {
        auto* source = new broken_body{answer.body,
                                       std::min(*answer.break_after, answer.body.size())};
        return MHD_create_response_from_callback(
            answer.body.size(), block_size, &read_broken_body, source, &free_broken_body);
    }
    return MHD_create_response_from_buffer(
        answer.body.size(), const_cast<char*>(answer.body.data()), MHD_RESPMEM_MUST_COPY);
}

} // namespace curranthoist::http::internal
