#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace curranthoist::storage::internal {

constexpr unsigned bits_per_byte = 8;

// Appends little-endian integers and byte strings.
class byte_writer
{
public:
    template <class Integer>
    void put(Integer value)
    {
        for (unsigned i = 0; i < sizeof(Integer); ++i) {
            bytes_.push_back(static_cast<std::uint8_t>(
                static_cast<std::uint64_t>(value) >> (bits_per_byte * i)));
        }
    }
    void put_bytes(std::span<const std::uint8_t> bytes)
    {
        bytes_.insert(bytes_.end(), bytes.begin(), bytes.end());
    }
    // A 64-bit length and the bytes.
    void put_string(std::span<const std::uint8_t> bytes)
    {
        put<std::uint64_t>(bytes.size());
        put_bytes(bytes);
    }
    [[nodiscard]] std::span<const std::uint8_t> bytes() const { return bytes_; }
    std::vector<std::uint8_t> take() { return std::move(bytes_); }

private:
    std::vector<std::uint8_t> bytes_;
};

// Reads what byte_writer wrote. After a read past the end, ok() is false and every value
// is 0 or empty.
class byte_reader
{
public:
    explicit byte_reader(std::span<const std::uint8_t> bytes)
        : rest_(bytes)
    {}

    template <class Integer>
    Integer get()
    {
        std::uint64_t value = 0;
        const std::span<const std::uint8_t> raw = get_bytes(sizeof(Integer));
        for (std::size_t i = 0; i < raw.size(); ++i) {
            value |= static_cast<std::uint64_t>(raw[i]) << (bits_per_byte * i);
        }
        return static_cast<Integer>(value);
    }
    std::span<const std::uint8_t> get_bytes(std::uint64_t size)
    {
        if (size > rest_.size()) {
            ok_ = false;
            rest_ = {};
            return {};
        }
        const std::span<const std::uint8_t> result = rest_.first(size);
        rest_ = rest_.subspan(size);
        return result;
    }
    std::vector<std::uint8_t> get_string()
    {
        const auto size = get<std::uint64_t>();
        const std::span<const std::uint8_t> bytes = get_bytes(size);
        return {bytes.begin(), bytes.end()};
    }
    [[nodiscard]] bool ok() const { return ok_; }
    [[nodiscard]] bool at_end() const { return rest_.empty(); }

private:
    std::span<const std::uint8_t> rest_;
    bool ok_ = true;
};

} // namespace curranthoist::storage::internal
