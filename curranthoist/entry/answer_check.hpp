#pragma once

#include "curranthoist/admission/call_result.hpp"
#include "curranthoist/entry/target_answer.hpp"
#include "curranthoist/entry/target_request.hpp"

namespace curranthoist::http {
struct target_result;
} // namespace curranthoist::http

namespace curranthoist::entry {

// One call's result as the coordinator and as the target's admission see it.
struct checked_answer
{
    target_answer answer;
    admission::call_end end = admission::call_end::failed;
};

// Judges a target's response: status, Request-Id, Snapshot, Shard, Boot-Id, Result-Length
// and whether the body is JSON. Anything that doesn't fit the request is malformed, and
// then it isn't certain whether the request ran.
checked_answer check_answer(const target_request& request,
                            const http::target_result& result);

} // namespace curranthoist::entry
