#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace curranthoist::base {

// Writes lines to a descriptor without ever waiting for its reader: what the reader has
// not taken is kept up to a limit, further lines are dropped and counted, and the count
// is written as a line of its own once there is room.
//
// A pipe that poll() reports as writable takes PIPE_BUF bytes at once, so the descriptor
// itself, which other processes may share, stays in blocking mode.
class bounded_output
{
public:
    // Kept for a slow reader; about a second of lines under load.
    static constexpr std::size_t max_kept_bytes = std::size_t{256} * 1024;

    // Does not own the descriptor.
    explicit bounded_output(int descriptor)
        : descriptor_(descriptor)
    {}

    // Keeps a line, which ends with a line feed, for the next flush(), or drops it. What
    // amounts to a pipe's whole write is written at once.
    void append(std::string_view line);
    // Writes what the reader takes now.
    void flush();
    // Both at once.
    void write(std::string_view line);
    // Lines dropped so far.
    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

private:
    int descriptor_;
    std::string kept_;
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_ = 0;
};

} // namespace curranthoist::base
