#include "curranthoist/platform/operator_call.hpp"

namespace curranthoist::platform {

namespace {

// The part of `path` between a prefix and a suffix, if it is one segment; otherwise
// empty.
std::string_view segment_between(std::string_view path, std::string_view prefix,
                                 std::string_view suffix)
{
    if (path.size() < prefix.size() + suffix.size() || !path.starts_with(prefix) ||
        !path.ends_with(suffix)) {
        return {};
    }
    path.remove_prefix(prefix.size());
    path.remove_suffix(suffix.size());
    return path.find('/') == std::string_view::npos ? path : std::string_view();
}

} // namespace

operator_call decode_operator_call(std::string_view method, std::string_view path)
{
    path = path.substr(0, path.find('?'));
    if (method == "GET" && path == "/v1/configuration/get") {
        return read_configuration_call();
    }
    if (method == "GET") {
        const auto service = segment_between(path, "/v1/rollouts/", "/get");
        return service.empty()
                   ? operator_call(unknown_call())
                   : operator_call(read_rollout_call{base::service_id(service)});
    }
    if (method != "POST") {
        return unknown_call();
    }
    if (path == "/v1/configuration/replace") {
        return replace_configuration_call();
    }
    if (path == "/v1/rollouts/start") {
        return start_rollout_call();
    }
    for (const bool starts : {true, false}) {
        const auto zone =
            segment_between(path, "/v1/evacuation/", starts ? "/start" : "/end");
        if (!zone.empty()) {
            return evacuation_call{base::zone_id(zone), starts};
        }
    }
    return unknown_call();
}

} // namespace curranthoist::platform
