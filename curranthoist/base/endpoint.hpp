#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace curranthoist::base {

// An IPv4 address in dotted form and a TCP port.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;

    // "address:port".
    [[nodiscard]] std::string str() const;
    // Reads "address:port"; nothing if the address is not IPv4 or the port is not in
    // 1 to 65535.
    [[nodiscard]] static std::optional<endpoint> parse(std::string_view text);
};

} // namespace curranthoist::base
