#include "curranthoist/platform/operator_call.hpp"

namespace curranthoist::platform {

operator_call decode_operator_call(std::string_view method, std::string_view path)
{
    constexpr std::string_view evacuation = "/v1/evacuation/";
    constexpr std::string_view start = "/start";
    constexpr std::string_view end = "/end";
    path = path.substr(0, path.find('?'));
    if (method == "GET" && path == "/v1/configuration/get") {
        return read_configuration_call();
    }
    if (method != "POST") {
        return unknown_call();
    }
    if (path == "/v1/configuration/replace") {
        return replace_configuration_call();
    }
    if (!path.starts_with(evacuation)) {
        return unknown_call();
    }
    const std::string_view rest = path.substr(evacuation.size());
    const bool starts = rest.ends_with(start);
    if (!starts && !rest.ends_with(end)) {
        return unknown_call();
    }
    const std::string_view zone =
        rest.substr(0, rest.size() - (starts ? start.size() : end.size()));
    if (zone.empty() || zone.find('/') != std::string_view::npos) {
        return unknown_call();
    }
    return evacuation_call{base::zone_id(zone), starts};
}

} // namespace curranthoist::platform
