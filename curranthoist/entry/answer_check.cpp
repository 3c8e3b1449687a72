#include "curranthoist/entry/answer_check.hpp"

#include "curranthoist/http/status.hpp"
#include "curranthoist/http/target_result.hpp"

#include <nlohmann/json.hpp>

#include <charconv>
#include <optional>
#include <string_view>

namespace curranthoist::entry {

namespace {

using admission::call_end;
using wire::part_status;

checked_answer ended(call_end end, part_status status, bool not_run)
{
    checked_answer result;
    result.end = end;
    result.answer.status = status;
    result.answer.not_run = not_run;
    return result;
}

// A request that may have left and has no usable response.
checked_answer lost(const target_request& request, const http::target_result& result,
                    call_end end, part_status status)
{
    const bool not_run = !result.request_may_have_left;
    const bool unknown = request.order && !not_run;
    return ended(end, unknown ? part_status::outcome_unknown : status, not_run);
}

std::optional<std::uint64_t> number_in(const http::target_result& result,
                                       std::string_view name)
{
    const std::optional<std::string> text = result.header(name);
    std::uint64_t value = 0;
    if (!text) {
        return std::nullopt;
    }
    const char* const end = text->data() + text->size();
    const auto [rest, error] = std::from_chars(text->data(), end, value);
    return error == std::errc() && rest == end ? std::optional(value) : std::nullopt;
}

bool belongs(const target_request& request, const http::target_result& result)
{
    if (result.header("Request-Id") != request.key || !result.header("Boot-Id") ||
        number_in(result, "Result-Length") != result.body.size()) {
        return false;
    }
    return request.order || (number_in(result, "Snapshot") == request.snapshot.value() &&
                             number_in(result, "Shard") == request.shard.value());
}

checked_answer check_success(const target_request& request,
                             const http::target_result& result)
{
    if (!belongs(request, result) || !nlohmann::json::accept(result.body)) {
        return ended(
            call_end::failed,
            request.order ? part_status::outcome_unknown : part_status::malformed, false);
    }
    checked_answer checked = ended(call_end::ok, part_status::ok, false);
    checked.answer.snapshot = request.snapshot;
    checked.answer.shard = request.shard;
    checked.answer.body = result.body;
    return checked;
}

checked_answer check_status(const target_request& request,
                            const http::target_result& result)
{
    const bool not_run = result.header("Not-Run") == "true";
    if (result.status == http::status::ok) {
        return check_success(request, result);
    }
    if (result.status == http::status::gone && !request.order) {
        return ended(call_end::snapshot_gone, part_status::snapshot_gone, true);
    }
    if (result.status == http::status::service_unavailable && not_run) {
        return ended(call_end::shed, part_status::shed, true);
    }
    if (result.status == http::status::gateway_timeout && not_run) {
        return ended(call_end::expired, part_status::timed_out, true);
    }
    return ended(call_end::failed,
                 request.order ? part_status::outcome_unknown : part_status::failed,
                 false);
}

checked_answer check_outcome(const target_request& request,
                             const http::target_result& result)
{
    switch (result.outcome) {
    case http::call_outcome::ok:
        return check_status(request, result);
    case http::call_outcome::could_not_connect:
    case http::call_outcome::withdrawn:
        return ended(call_end::refused, part_status::failed, true);
    case http::call_outcome::timed_out:
    case http::call_outcome::cancelled:
        return lost(request, result, call_end::timed_out, part_status::timed_out);
    case http::call_outcome::truncated:
    case http::call_outcome::malformed:
    case http::call_outcome::connection_broken:
        return lost(request, result, call_end::reset, part_status::failed);
    case http::call_outcome::too_large:
    case http::call_outcome::mismatched:
        return lost(request, result, call_end::failed, part_status::malformed);
    }
    return lost(request, result, call_end::failed, part_status::failed);
}

} // namespace

checked_answer check_answer(const target_request& request,
                            const http::target_result& result)
{
    checked_answer checked = check_outcome(request, result);
    if (result.outcome == http::call_outcome::ok) {
        checked.answer.boot = base::boot_id(result.header("Boot-Id").value_or(""));
    }
    checked.answer.service_time = result.elapsed;
    return checked;
}

} // namespace curranthoist::entry
