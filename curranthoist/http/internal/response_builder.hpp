#pragma once

#include "curranthoist/http/caller_response.hpp"

#include <microhttpd.h>

#include <string_view>

namespace curranthoist::http::internal {

// A JSON refusal of a request that no handler has seen, so that "not run" is certain.
caller_response refusal(unsigned status, std::string_view error);

// libmicrohttpd's form of the body, without the headers. The caller destroys it.
MHD_Response* make_response(const caller_response& answer);

} // namespace curranthoist::http::internal
