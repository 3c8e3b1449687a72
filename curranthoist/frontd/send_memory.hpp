#pragma once

#include <cstddef>

namespace curranthoist::frontd {

// What a send to a target takes of the memory for open requests, besides the body.
inline constexpr std::size_t bytes_for_send = std::size_t{4} * 1024;

} // namespace curranthoist::frontd
