#include "curranthoist/entry/filters/filter_chain.hpp"

#include "curranthoist/base/findings.hpp"
#include "curranthoist/control/configuration.hpp"
#include "curranthoist/entry/request_id_text.hpp"
#include "curranthoist/http/caller_request.hpp"
#include "curranthoist/http/status.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

namespace curranthoist::entry {

namespace {

constexpr std::string_view query_prefix = "/v1/query/";
constexpr std::string_view order_prefix = "/v1/order/";

filter_result refuse(unsigned status, std::string error)
{
    return refusal{status, std::move(error), request_outcome::not_run};
}

bool is_digit(char letter)
{
    return letter >= '0' && letter <= '9';
}

// True for <unix ms>-<unique part>.
bool is_order_id(std::string_view id)
{
    const std::size_t dash = id.find('-');
    return dash != std::string_view::npos && dash > 0 && dash + 1 < id.size() &&
           std::all_of(id.begin(), id.begin() + static_cast<std::ptrdiff_t>(dash),
                       is_digit);
}

std::optional<base::duration> parse_milliseconds(std::string_view text)
{
    std::int64_t value = 0;
    const char* const end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || rest != end || value <= 0) {
        return std::nullopt;
    }
    return base::duration(value);
}

// The Request-Id, or the one made up for a query without one. Adds what is wrong with it.
std::string read_request_id(const http::caller_request& request,
                            const process_state& state, control::service_kind kind,
                            base::findings& found)
{
    const std::optional<std::string> given = request.header("Request-Id");
    const bool order = kind == control::service_kind::order;
    if (!given && order) {
        found.add("Request-Id", "is required for an order");
        return {};
    }
    std::string id = given.value_or(state.new_request_id);
    if (!is_request_id(id)) {
        found.add("Request-Id", "must be 1 to 128 printable characters");
    }
    else if (order && !is_order_id(id)) {
        found.add("Request-Id", "must have the form <unix ms>-<unique part>");
    }
    return id;
}

std::string one_line(const base::findings& found)
{
    std::string text;
    for (const base::finding& each : found.list()) {
        text += (text.empty() ? "" : "; ") + each.place + " " + each.text;
    }
    return text;
}

// An order that is refused here was not sent now, but only control knows whether an
// earlier delivery of the same id ran. A caller that is told "not run" may place the
// order anew under another id, so that would be a second run.
refusal about_every_delivery(refusal refused, const admitted_request& request)
{
    if (request.kind == control::service_kind::order && !request.id.empty()) {
        refused.outcome = request_outcome::unknown;
        refused.error +=
            "; not sent now, but an earlier delivery of this id may have run";
    }
    return refused;
}

} // namespace

filter_result check_method_and_path(const http::caller_request& request,
                                    const process_state& /*state*/,
                                    admitted_request& result)
{
    const std::string_view path = request.path;
    std::string_view service;
    if (path.starts_with(query_prefix)) {
        result.kind = control::service_kind::query;
        service = path.substr(query_prefix.size());
    }
    else if (path.starts_with(order_prefix)) {
        result.kind = control::service_kind::order;
        service = path.substr(order_prefix.size());
    }
    if (service.empty()) {
        return refuse(http::status::not_found, "unknown path");
    }
    if (request.method != "POST") {
        return refuse(http::status::method_not_allowed, "method must be POST");
    }
    result.service = base::service_id(service);
    return std::nullopt;
}

filter_result check_stopping(const http::caller_request& /*request*/,
                             const process_state& state, admitted_request& /*result*/)
{
    return state.refusing ? refuse(http::status::service_unavailable, "VM is stopping")
                          : std::nullopt;
}

filter_result check_lease_and_zone(const http::caller_request& /*request*/,
                                   const process_state& state,
                                   admitted_request& /*result*/)
{
    if (!state.lease_valid) {
        return refuse(http::status::service_unavailable, "VM holds no lease");
    }
    if (!state.in_service) {
        return refuse(http::status::service_unavailable,
                      "VM or its availability zone is out of service");
    }
    return std::nullopt;
}

filter_result check_limits(const http::caller_request& request,
                           const process_state& state, admitted_request& /*result*/)
{
    if (state.running >= state.limits.max_concurrent_requests) {
        return refuse(http::status::too_many_requests, "too many concurrent requests");
    }
    if (request.body.size() > state.limits.max_body_bytes) {
        return refuse(http::status::content_too_large,
                      "body exceeds the process's limit");
    }
    return std::nullopt;
}

filter_result read_headers(const http::caller_request& request,
                           const process_state& state, admitted_request& result)
{
    base::findings found;
    const std::string id = read_request_id(request, state, result.kind, found);
    if (const std::optional<std::string> given = request.header("Deadline-Ms")) {
        result.asked_time = parse_milliseconds(*given);
        if (!result.asked_time) {
            found.add("Deadline-Ms", "must be a positive whole number");
        }
    }
    if (!found.empty()) {
        return refuse(http::status::bad_request, one_line(found));
    }
    result.id = base::request_id(id);
    return std::nullopt;
}

filter_result find_service(const http::caller_request& request,
                           const process_state& state, admitted_request& result)
{
    const auto found = state.configuration->services.find(result.service);
    if (found == state.configuration->services.end()) {
        return refuse(http::status::not_found, "unknown service");
    }
    if (found->second.kind != result.kind) {
        return refuse(http::status::not_found, result.kind == control::service_kind::order
                                                   ? "service takes queries, not orders"
                                                   : "service takes orders, not queries");
    }
    if (request.body.size() > found->second.max_body_bytes) {
        return refuse(http::status::content_too_large,
                      "body exceeds the service's limit");
    }
    result.spec = found->second;
    return std::nullopt;
}

filter_result set_deadline(const http::caller_request& /*request*/,
                           const process_state& state, admitted_request& result)
{
    const base::duration wanted =
        result.asked_time.value_or(result.spec.default_deadline);
    const base::duration time_left =
        std::min({wanted, result.spec.max_deadline, state.limits.max_deadline});
    result.deadline = state.now + time_left;
    return std::nullopt;
}

filter_result run_filters(const http::caller_request& request, const process_state& state,
                          admitted_request& result)
{
    constexpr std::array chain{check_method_and_path, read_headers, check_stopping,
                               check_lease_and_zone,  check_limits, find_service,
                               set_deadline};
    for (const auto& filter : chain) {
        if (filter_result refused = filter(request, state, result)) {
            return about_every_delivery(*std::move(refused), result);
        }
    }
    return std::nullopt;
}

} // namespace curranthoist::entry
