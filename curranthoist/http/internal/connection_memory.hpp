#pragma once

#include <cstddef>

namespace curranthoist::http::internal {

// What one connection's memory in libmicrohttpd has to hold. Each connection has one
// block of fixed size for the request's head and the response's. Once it is used up, the
// library closes the connection without a response, so a request must leave room for its
// response before it is handed over.
class connection_memory
{
public:
    // Kept free for the head of each response.
    static constexpr std::size_t response_reserve = std::size_t{12} * 1024;

    // The size of the block for requests with heads of `max_header_bytes`. Besides the
    // head itself it holds a copy of its cookies and a record of each header.
    [[nodiscard]] static constexpr std::size_t block_bytes(std::size_t max_header_bytes)
    {
        constexpr std::size_t copies = 3;
        return max_header_bytes * copies + response_reserve + own_bytes;
    }

    explicit constexpr connection_memory(std::size_t block_size)
        : block_size_(block_size)
    {}

    // The bytes that are left beside a head of `head_bytes` with cookie lines of
    // `cookie_bytes`. `records` is the number of its headers, cookies and query
    // arguments together.
    [[nodiscard]] constexpr std::size_t left_beside(std::size_t head_bytes,
                                                    std::size_t cookie_bytes,
                                                    std::size_t records) const
    {
        const std::size_t used =
            head_bytes + cookie_bytes + records * record_bytes + own_bytes;
        return used < block_size_ ? block_size_ - used : 0;
    }

private:
    // The library's record of a header, aligned.
    static constexpr std::size_t record_bytes = 64;
    // The status line, the headers that the library adds to a response, and alignment.
    static constexpr std::size_t own_bytes = 1024;

    std::size_t block_size_;
};

} // namespace curranthoist::http::internal
