#include "curranthoist/platform/caller_exchange.hpp"

#include "curranthoist/http/status.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>
#include <vector>

namespace curranthoist::platform {

namespace {

constexpr std::string_view attempt_header = "Attempt-Id";
constexpr std::string_view deadline_header = "Deadline-Milliseconds";
constexpr std::string_view instance_header = "Expected-Instance";
// The target's signature of a response.
constexpr std::string_view signature_header = "Server-Stamp";
// The signatures of a gathered response's parts, and the number of shards left out.
constexpr std::string_view parts_header = "Part-Stamps";
constexpr std::string_view missing_header = "Missing-Parts";
constexpr std::string_view not_run_header = "Not-Executed";
constexpr std::string_view leaving_header = "Server-Leaving";
constexpr std::string_view retry_after_header = "Retry-After";
constexpr std::string_view key_header = "Key";
constexpr std::string_view team_header = "Tenant";

// Headers that concern one connection, and those that this system sets itself.
constexpr std::array<std::string_view, 12> connection_headers{
    "Connection",         "Keep-Alive", "Proxy-Connection",
    "Proxy-Authenticate", "TE",         "Trailer",
    "Transfer-Encoding",  "Upgrade",    "Proxy-Authorization",
    "Content-Length",     "Expect",     "Date"};

constexpr double longest_time_ms = 1e9;
// A target that wants a longer pause is asked again after this time.
constexpr base::duration max_pause{3'600'000};
// A health answer is read for its headers.
constexpr std::size_t max_health_bytes = std::size_t{64} * 1024;
// A call outlives the time that its target was given by this much.
constexpr base::duration connection_grace{100};

std::optional<base::duration> milliseconds(std::string_view text)
{
    double value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || !(value >= 0 && value <= longest_time_ms)) {
        return std::nullopt;
    }
    return base::duration(static_cast<std::int64_t>(value));
}

// Returns the pause of a Retry-After in seconds, rounded up to a millisecond. A value
// that can't be read asks for no pause.
base::duration pause_of(std::string_view text)
{
    constexpr double milliseconds_per_second = 1000.0;
    double seconds = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, seconds);
    // from_chars leaves the value alone if it is out of range.
    if (parsed.ec != std::errc() || parsed.ptr != end || !(seconds > 0)) {
        return base::duration();
    }
    const double limit = static_cast<double>(max_pause.count());
    return base::duration(static_cast<std::int64_t>(
        std::min(limit, std::ceil(seconds * milliseconds_per_second))));
}

forwarding::target_notice notice_of(const http::target_result& result)
{
    forwarding::target_notice notice;
    if (result.outcome != http::call_outcome::ok) {
        return notice;
    }
    const auto leaving = result.header(leaving_header);
    notice.leaving = leaving && *leaving != "0";
    const bool turned_away = result.status == http::status::service_unavailable ||
                             result.status == http::status::too_many_requests;
    if (const auto text = result.header(retry_after_header); text && turned_away) {
        notice.pause = pause_of(*text);
    }
    return notice;
}

// Drops the headers of one connection, also those that Connection names.
http::header_map end_to_end(http::header_map headers)
{
    const auto connection = headers.find(std::string_view("Connection"));
    if (connection != headers.end()) {
        std::string_view names = connection->second;
        std::vector<std::string> named;
        while (!names.empty()) {
            const std::size_t comma = std::min(names.find(','), names.size());
            std::string_view one = names.substr(0, comma);
            while (!one.empty() && one.front() == ' ') {
                one.remove_prefix(1);
            }
            named.emplace_back(one);
            names.remove_prefix(std::min(comma + 1, names.size()));
        }
        for (const std::string& name : named) {
            headers.erase(name);
        }
    }
    for (const std::string_view name : connection_headers) {
        if (const auto found = headers.find(name); found != headers.end()) {
            headers.erase(found);
        }
    }
    return headers;
}

bool equal_names(std::string_view a, std::string_view b)
{
    return !http::header_less()(a, b) && !http::header_less()(b, a);
}

void append_line(std::string& lines, std::string_view name, std::string_view value)
{
    lines.append(name).append(": ").append(value).append("\r\n");
}

// Sets the header lines, without the headers that are set anew for each target.
void set_lines(inbound_request& request, const http::header_map& headers)
{
    std::string lines;
    for (const auto& [name, value] : headers) {
        const auto is = [&header = name](std::string_view other) {
            return equal_names(header, other);
        };
        if (is(key_header) || is(team_header)) {
            append_line(request.team_lines, name, value);
        }
        else if (!is(attempt_header) && !is(deadline_header) && !is(instance_header)) {
            append_line(lines, name, value);
        }
    }
    request.header_lines = std::make_shared<const std::string>(std::move(lines));
}

forwarding::response_kind kind_of(const http::target_result& result, bool is_signed)
{
    using forwarding::response_kind;
    if (result.outcome == http::call_outcome::withdrawn) {
        return response_kind::withdrawn;
    }
    if (!result.request_may_have_left) {
        return result.outcome == http::call_outcome::timed_out
                   ? response_kind::not_run
                   : response_kind::unreachable;
    }
    if (result.outcome == http::call_outcome::cancelled) {
        return response_kind::cancelled;
    }
    if (result.outcome != http::call_outcome::ok) {
        return response_kind::unknown;
    }
    if (result.status == http::status::misdirected) {
        return response_kind::wrong_target;
    }
    if (result.header(not_run_header)) {
        return response_kind::not_run;
    }
    // A response without signature or with an encoding is not the target's own.
    if (!is_signed || result.header("Content-Encoding")) {
        return response_kind::unknown;
    }
    const bool success =
        result.status >= http::status::ok && result.status < http::status::first_redirect;
    return success ? response_kind::success : response_kind::failure;
}

// The body with its part of the memory for requests, which is free once nobody shares it.
std::shared_ptr<const std::string> shared_body_of(http::caller_request& request)
{
    struct held_body
    {
        std::string bytes;
        std::shared_ptr<http::memory_account::reservation> memory;
    };
    const auto held = std::make_shared<held_body>(
        held_body{std::move(request.body), std::move(request.held_memory)});
    return {held, &held->bytes};
}

} // namespace

inbound_request decode_caller_request(http::caller_request request)
{
    inbound_request result;
    result.attempt = base::request_id(request.header(attempt_header).value_or(""));
    result.host = request.header("Host").value_or("");
    if (const auto text = request.header(deadline_header)) {
        result.patience = milliseconds(*text);
    }
    result.method = std::move(request.method);
    result.target = std::move(request.target);
    result.key = request.header(key_header).value_or("");
    set_lines(result, end_to_end(std::move(request.headers)));
    result.body = shared_body_of(request);
    result.connection_was_new = request.connection_was_new;
    return result;
}

void set_team(inbound_request& request, const std::string& team)
{
    request.team = team;
    std::string lines = *request.header_lines;
    append_line(lines, team_header, team);
    request.header_lines = std::make_shared<const std::string>(std::move(lines));
}

void keep_team_headers(inbound_request& request)
{
    if (!request.team_lines.empty()) {
        request.header_lines = std::make_shared<const std::string>(*request.header_lines +
                                                                   request.team_lines);
    }
}

http::target_call encode_target_call(const inbound_request& request,
                                     const base::target_id& expected,
                                     base::duration time_left)
{
    http::target_call call;
    call.method = request.method;
    call.path = request.target;
    call.common_headers = request.header_lines;
    call.headers = {{std::string(instance_header), expected.str()}};
    call.deadline_header = deadline_header;
    call.target_time = time_left;
    if (!request.attempt.empty()) {
        call.headers.emplace(attempt_header, request.attempt.str());
    }
    call.shared_body = request.body;
    // The request's own limit ends the work. This one frees the connection of a target
    // that has gone silent.
    call.time_limit = time_left + connection_grace;
    call.id_header = attempt_header;
    // A target's second response to an earlier request comes where the own one is due.
    call.skips_other_responses = true;
    call.expects_names = true;
    call.accept_unframed = true;
    return call;
}

target_response decode_target_result(http::target_result result)
{
    target_response response;
    response.signature = result.header(signature_header).value_or("");
    response.kind = kind_of(result, !response.signature.empty());
    response.notice = notice_of(result);
    response.content = std::move(result);
    return response;
}

http::caller_response forward_response(target_response from)
{
    http::caller_response answer;
    answer.status = from.content.status;
    answer.headers = end_to_end(from.content.headers);
    answer.body = std::move(from.content.body);
    answer.held_memory = std::move(from.content.held_memory);
    return answer;
}

http::caller_response gathered_response(std::span<const std::string_view> signatures,
                                        std::size_t missing, std::string body)
{
    std::string list;
    for (const std::string_view one : signatures) {
        list += list.empty() ? "" : ", ";
        list += one;
    }
    http::caller_response answer;
    answer.headers = {{"Content-Type", "application/octet-stream"},
                      {std::string(parts_header), std::move(list)},
                      {std::string(missing_header), std::to_string(missing)}};
    answer.body = std::move(body);
    return answer;
}

http::caller_response own_response(unsigned status, std::string_view error,
                                   std::optional<base::duration> retry_after)
{
    http::caller_response answer;
    answer.status = status;
    answer.body = R"({"error":")" + std::string(error) + R"("})";
    if (retry_after) {
        std::array<char, 32> text{};
        const auto end =
            std::to_chars(text.data(), text.data() + text.size(), retry_after->seconds(),
                          std::chars_format::fixed, 3);
        answer.headers.emplace("Retry-After", std::string(text.data(), end.ptr));
    }
    return answer;
}

bool may_forward_failure(unsigned status)
{
    return status != http::status::request_timeout &&
           status != http::status::misdirected &&
           status != http::status::too_many_requests &&
           status != http::status::service_unavailable;
}

http::target_call encode_health_call(const std::string& path, base::duration limit)
{
    http::target_call call;
    call.method = "GET";
    call.path = path;
    call.time_limit = limit;
    call.is_withdrawable = false;
    call.accept_unframed = true;
    call.max_body_bytes = max_health_bytes;
    return call;
}

health_answer decode_health_answer(const http::target_result& result)
{
    health_answer answer;
    if (result.outcome != http::call_outcome::ok) {
        return answer;
    }
    answer.notice = notice_of(result);
    answer.healthy = result.status == http::status::ok && !answer.notice.leaving;
    answer.instance = base::target_id(result.header("Instance-Id").value_or(""));
    if (const auto text = result.header("Cold-Milliseconds")) {
        answer.remaining_cold_time = milliseconds(*text).value_or(base::duration());
    }
    return answer;
}

bool is_readiness_path(std::string_view path)
{
    return path == "/v1/readiness";
}

} // namespace curranthoist::platform
