#include "curranthoist/http/internal/request_text.hpp"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace curranthoist::http::internal {

std::string request_head(const target_call& call, const base::endpoint& remote,
                         base::duration waited)
{
    constexpr std::size_t usual_bytes = 512;
    std::string text;
    text.reserve(usual_bytes);
    text.append(call.method).append(" ").append(call.path).append(" HTTP/1.1\r\n");
    if (!call.common_headers && !call.headers.contains(std::string_view("Host"))) {
        text.append("Host: ").append(remote.str()).append("\r\n");
    }
    if (call.common_headers) {
        text.append(*call.common_headers);
    }
    for (const auto& [name, value] : call.headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (!call.deadline_header.empty()) {
        constexpr base::duration least{1};
        const base::duration left = std::max(least, call.target_time - waited);
        text.append(call.deadline_header)
            .append(": ")
            .append(std::to_string(left.count()))
            .append("\r\n");
    }
    const std::size_t size = call.content().size();
    const bool has_body = size > 0 || call.method == "POST" || call.method == "PUT" ||
                          call.method == "PATCH";
    if (has_body && call.method != "HEAD") {
        text.append("Content-Length: ").append(std::to_string(size)).append("\r\n");
    }
    text.append("\r\n");
    return text;
}

std::optional<base::duration> kept_for(const target_result& result)
{
    constexpr std::string_view name = "timeout=";
    const auto header = result.header("Keep-Alive");
    const std::size_t at = header ? header->find(name) : std::string::npos;
    if (at == std::string::npos) {
        return std::nullopt;
    }
    unsigned seconds = 0;
    const char* const begin = header->data() + at + name.size();
    const auto parsed = std::from_chars(begin, header->data() + header->size(), seconds);
    constexpr std::int64_t milliseconds_per_second = 1000;
    return parsed.ec == std::errc()
               ? std::optional(base::duration(seconds * milliseconds_per_second))
               : std::nullopt;
}

} // namespace curranthoist::http::internal
