#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/forwarding/response_kind.hpp"
#include "curranthoist/forwarding/target_notice.hpp"
#include "curranthoist/http/caller_request.hpp"
#include "curranthoist/http/caller_response.hpp"
#include "curranthoist/http/target_call.hpp"
#include "curranthoist/http/target_result.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace curranthoist::platform {

// What a caller's request says about itself, and what of it goes on to a target.
struct inbound_request
{
    // Names this attempt of the caller; empty if the caller sent none.
    base::request_id attempt;
    std::string host;
    // How long the caller waits; nothing if it does not say.
    std::optional<base::duration> patience;
    std::string method;
    // Path and query as the caller sent them, not decoded.
    std::string target;
    // The lines of the headers that go on to every target unchanged: without those that
    // concern one connection only, and without the attempt's name and the deadline. Never
    // null.
    std::shared_ptr<const std::string> header_lines =
        std::make_shared<const std::string>();
    // The caller's key; empty if it sent none. Not among the header lines.
    std::string key;
    // The lines of the headers for key and team as they were sent.
    std::string team_lines;
    // The team's name, and its priority, which goes before the route's.
    std::string team;
    std::optional<unsigned> priority;
    // Never null. Whoever holds it holds its part of the memory for requests.
    std::shared_ptr<const std::string> body = std::make_shared<const std::string>();
    // The caller made a connection for it, and began to wait before that.
    bool connection_was_new = false;

    // The bytes of it that each send repeats, besides the body.
    [[nodiscard]] std::size_t head_bytes() const
    {
        return attempt.str().size() + method.size() + target.size() +
               header_lines->size();
    }
};

// One target's response.
struct target_response
{
    forwarding::response_kind kind = forwarding::response_kind::unknown;
    // The target's signature of this response; empty if it gave none.
    std::string signature;
    forwarding::target_notice notice;
    http::target_result content;
};

inbound_request decode_caller_request(http::caller_request request);

// Names the team to the targets. Without it, what the caller sent of key and team does
// not reach them.
void set_team(inbound_request& request, const std::string& team);
// Lets the headers for key and team go on as any others: there are no teams.
void keep_team_headers(inbound_request& request);

// The call that sends the request on to the run of a target named `expected`, which stops
// work after `time_left`.
http::target_call encode_target_call(const inbound_request& request,
                                     const base::target_id& expected,
                                     base::duration time_left);

// Tells what a call came to, and keeps its response.
target_response decode_target_result(http::target_result result);

// The caller's response from one target's, unchanged.
http::caller_response forward_response(target_response from);
// The caller's response that was gathered from the parts with these signatures; `missing`
// shards are left out.
http::caller_response gathered_response(std::span<const std::string_view> signatures,
                                        std::size_t missing, std::string body);
// A response of this system itself. `retry_after` tells the caller when to come back.
http::caller_response own_response(unsigned status, std::string_view error,
                                   std::optional<base::duration> retry_after);
// True if a target's failure of this status can be passed on: the statuses that promise
// 'not run' can't, because the target has run the request.
bool may_forward_failure(unsigned status);

// The request for a target's health, and what its answer says.
http::target_call encode_health_call(const std::string& path, base::duration limit);
struct health_answer
{
    bool healthy = false;
    base::target_id instance;
    // How long it stays cold.
    base::duration remaining_cold_time;
    forwarding::target_notice notice;
};
health_answer decode_health_answer(const http::target_result& result);

// The path at which the load balancer asks for readiness.
bool is_readiness_path(std::string_view path);

} // namespace curranthoist::platform
