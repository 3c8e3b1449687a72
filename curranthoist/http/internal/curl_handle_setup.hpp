#pragma once

#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/http/internal/running_call.hpp"

#include <curl/curl.h>

namespace curranthoist::http::internal {

// Sets everything on the call's handle that depends on the call alone: URL, method,
// headers, body, the callbacks that receive the response, and the rules that hold for all
// calls (plain HTTP/1.1, no redirects, no proxies).
void set_up_handle(running_call& current, const base::endpoint& remote);

// The outcome of a call that libcurl ended with `code`.
call_outcome outcome_of(const running_call& current, CURLcode code);

} // namespace curranthoist::http::internal
