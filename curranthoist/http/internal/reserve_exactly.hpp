#pragma once

#include <cstddef>
#include <string>
#include <utility>

namespace curranthoist::http::internal {

// Gives the text room for `capacity` bytes and not more. std::string::reserve() may take
// twice the former capacity, which an account would not know of.
inline void reserve_exactly(std::string& text, std::size_t capacity)
{
    std::string larger;
    larger.reserve(capacity);
    larger.append(text);
    text = std::move(larger);
}

} // namespace curranthoist::http::internal
