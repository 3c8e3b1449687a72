#pragma once

#include "curranthoist/entry/filters/admitted_request.hpp"
#include "curranthoist/entry/filters/process_state.hpp"
#include "curranthoist/entry/filters/refusal.hpp"

#include <optional>

namespace curranthoist::http {
struct caller_request;
} // namespace curranthoist::http

namespace curranthoist::entry {

// Each filter checks one thing, adds what it learnt to `result`, and returns a refusal if
// the request must not go on. Nothing has been sent anywhere when a filter runs.
using filter_result = std::optional<refusal>;

// POST to /v1/query/<service> or /v1/order/<service>.
filter_result check_method_and_path(const http::caller_request& request,
                                    const process_state& state, admitted_request& result);
// Request-Id and Deadline-Ms; every mistake in them is reported together. The id is
// required for an order, where it has the form <unix ms>-<unique part>, and made up for a
// query that has none.
filter_result read_headers(const http::caller_request& request,
                           const process_state& state, admitted_request& result);
// A stopping process takes no new requests.
filter_result check_stopping(const http::caller_request& request,
                             const process_state& state, admitted_request& result);
// Without a lease, or with its zone out of service, the VM takes no new requests.
filter_result check_lease_and_zone(const http::caller_request& request,
                                   const process_state& state, admitted_request& result);
// The process's own limits: requests that run at once, and the body's size.
filter_result check_limits(const http::caller_request& request,
                           const process_state& state, admitted_request& result);
// The service must exist, be of the path's kind and allow a body of this size.
filter_result find_service(const http::caller_request& request,
                           const process_state& state, admitted_request& result);
// The deadline asked for, or the service's default; cut to the service's and the
// process's longest.
filter_result set_deadline(const http::caller_request& request,
                           const process_state& state, admitted_request& result);

// Runs all filters in their order and returns the first refusal. For an order with a
// well-formed id it says "outcome unknown", because an earlier delivery of the same id
// may have run; every other refusal is certain that the request did not run.
filter_result run_filters(const http::caller_request& request, const process_state& state,
                          admitted_request& result);

} // namespace curranthoist::entry
