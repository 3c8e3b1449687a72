#pragma once

#include "curranthoist/http/caller_response.hpp"

#include <microhttpd.h>

#include <memory>
#include <string_view>

namespace curranthoist::http::internal {

struct response_body;

// A JSON refusal of a request that no handler has seen, so that "not run" is certain.
caller_response refusal(unsigned status, std::string_view error);

// libmicrohttpd's form of the body, without the headers. The caller destroys it.
MHD_Response* make_response(const caller_response& answer);
// The same for a body that is sent from where it is.
MHD_Response* make_response(std::shared_ptr<response_body> body);

} // namespace curranthoist::http::internal
