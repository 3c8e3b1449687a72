#pragma once

// The HTTP status codes that the system sends and understands.
namespace curranthoist::http::status {

constexpr unsigned ok = 200;
constexpr unsigned no_content = 204;
constexpr unsigned not_modified = 304;
// Statuses from here on are not of success.
constexpr unsigned first_redirect = 300;
constexpr unsigned temporary_redirect = 307;
constexpr unsigned bad_request = 400;
constexpr unsigned unauthorized = 401;
constexpr unsigned not_found = 404;
constexpr unsigned method_not_allowed = 405;
constexpr unsigned request_timeout = 408;
constexpr unsigned conflict = 409;
constexpr unsigned gone = 410;
constexpr unsigned content_too_large = 413;
constexpr unsigned misdirected = 421;
constexpr unsigned unprocessable = 422;
constexpr unsigned too_many_requests = 429;
constexpr unsigned bad_gateway = 502;
constexpr unsigned service_unavailable = 503;
constexpr unsigned gateway_timeout = 504;

} // namespace curranthoist::http::status
