#include "curranthoist/base/endpoint.hpp"

#include <charconv>
#include <limits>

#include <arpa/inet.h>

namespace curranthoist::base {

std::string endpoint::str() const
{
    return address + ":" + std::to_string(port);
}

std::optional<endpoint> endpoint::parse(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    endpoint result{std::string(text.substr(0, colon)), 0};
    const std::string_view digits = text.substr(colon + 1);
    unsigned port = 0;
    const auto [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    const bool whole = error == std::errc() && end == digits.data() + digits.size();
    if (!whole || port == 0 || port > std::numeric_limits<std::uint16_t>::max()) {
        return std::nullopt;
    }
    in_addr parsed{};
    if (inet_pton(AF_INET, result.address.c_str(), &parsed) != 1) {
        return std::nullopt;
    }
    result.port = static_cast<std::uint16_t>(port);
    return result;
}

} // namespace curranthoist::base
