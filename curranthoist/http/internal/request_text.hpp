#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/http/target_call.hpp"
#include "curranthoist/http/target_result.hpp"

#include <optional>
#include <string>

namespace curranthoist::http::internal {

// The request line and headers of a call that is sent `waited` after the call was
// started. Without a Host header it names `remote`.
std::string request_head(const target_call& call, const base::endpoint& remote,
                         base::duration waited);

// How long the target keeps the connection, by the `timeout` of the response's Keep-Alive
// header; nothing if there is none.
std::optional<base::duration> kept_for(const target_result& result);

} // namespace curranthoist::http::internal
