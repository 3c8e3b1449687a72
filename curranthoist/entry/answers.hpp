#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/entry/filters/refusal.hpp"
#include "curranthoist/http/caller_response.hpp"

#include <string_view>

namespace curranthoist::routing {
struct respond;
} // namespace curranthoist::routing

namespace curranthoist::entry {

// The responses to callers, as docs/callers.md describes them.

// A query's result. Each shard's body is embedded as it is; it has been checked to be
// JSON.
http::caller_response query_answer(const base::request_id& id,
                                   const base::service_id& service,
                                   const routing::respond& result);

// An order that ran, with the target's response, which is JSON.
http::caller_response order_answer(const base::request_id& id,
                                   const base::service_id& service,
                                   std::string_view body);

// The status of a refusal that comes this long before the deadline: 504 if the deadline
// is why, otherwise 503.
unsigned refusal_status(base::duration time_left);

// A refusal with its outcome, "not run" or "outcome unknown".
http::caller_response refusal_answer(const base::request_id& id, const refusal& why);

} // namespace curranthoist::entry
