#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace curranthoist::forwarding {

// Length of one record of a part, in bytes. What is left of a body after its last whole
// record is not a record.
constexpr std::size_t record_bytes = 16;

// The greatest `count` records of all parts, greatest first, compared byte by byte as
// unsigned values. Equal records all count.
std::string merge_records(std::span<const std::string_view> parts, std::size_t count);

} // namespace curranthoist::forwarding
