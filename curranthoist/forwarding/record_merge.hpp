#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace curranthoist::forwarding {

// Length of one record of a part, in bytes. A shorter remainder at the end of a body is
// not a record.
constexpr std::size_t record_bytes = 16;

// Returns the `count` greatest records of all parts, greatest first. Records are compared
// byte by byte as unsigned values. Equal records are all retained.
std::string merge_records(std::span<const std::string_view> parts, std::size_t count);

} // namespace curranthoist::forwarding
