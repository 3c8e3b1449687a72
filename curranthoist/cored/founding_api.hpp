#pragma once

#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/base/instant.hpp"
#include "curranthoist/http/caller_request.hpp"
#include "curranthoist/http/responder.hpp"

#include <optional>
#include <string>

namespace curranthoist::cored {

class founder_choice;

// The request by which a process asks the first seed who founds the log, and its answer.
namespace founding_api {

constexpr const char* path = "/members/found";

std::string encode_request(const base::endpoint& peers);
// Answers a request to `path`; 400 if it is malformed.
void answer_request(founder_choice& choice, const http::caller_request& request,
                    const http::responder& answer, base::instant now);
// The founder that an answer's body names; nothing if none is named yet.
std::optional<base::endpoint> decode_answer(const std::string& body);

} // namespace founding_api

} // namespace curranthoist::cored
