#pragma once

#include "curranthoist/storage/log_entry.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace curranthoist::storage::internal {

// A segment starts with segment_header_bytes: a mark and the segment's number. Records
// follow without padding. A record holds the entries of one append, so at most the last
// record of the last segment was never synced:
//
//     u32 mark | u32 body length | u64 check of these 8 bytes | u64 check of the body |
//     body
//
// Checks are XXH3 sums seeded with the segment's number and the record's offset, so a
// record that was copied to another place does not pass.
constexpr std::size_t segment_header_bytes = 16;
constexpr std::size_t record_header_bytes = 24;
// The longest body; a longer append is split.
constexpr std::size_t max_record_bytes = std::size_t{64} * 1024 * 1024;

std::vector<std::uint8_t> encode_segment_header(std::uint64_t segment);
bool is_segment_header(std::span<const std::uint8_t> bytes, std::uint64_t segment);

// One record with its header, for the place where it will be written. Throws
// std::length_error if the entries exceed max_record_bytes.
std::vector<std::uint8_t> encode_record(std::uint64_t segment, std::uint64_t offset,
                                        std::span<const log_entry> entries);

// The content of one segment file.
struct segment_content
{
    std::vector<log_entry> entries;
    // Bytes up to the end of the last good record.
    std::uint64_t good_bytes = 0;
    // Bytes after them that were never synced: a torn tail.
    bool torn = false;
    // The offset of damage that is no torn tail, and what it is.
    std::optional<std::uint64_t> damaged_at;
    const char* damage = "";
};

// Reads a segment file. Only the last segment may end with a torn tail.
segment_content decode_segment(std::uint64_t segment, std::span<const std::uint8_t> bytes,
                               bool is_last);

// A whole file in one checked envelope; `kind` differs between the kinds of files.
enum class file_kind : std::uint64_t
{
    identity = 1,
    vote = 2,
    snapshot = 3,
};
std::vector<std::uint8_t> seal_file(file_kind kind,
                                    std::span<const std::uint8_t> payload);
// The payload, or nothing if the file is damaged or of another kind.
std::optional<std::span<const std::uint8_t>>
open_file(file_kind kind, std::span<const std::uint8_t> bytes);

// Entries as a counted list, and back; nothing if the bytes are malformed.
std::vector<std::uint8_t> encode_entries(std::span<const log_entry> entries);
std::optional<std::vector<log_entry>> decode_entries(std::span<const std::uint8_t> bytes);

} // namespace curranthoist::storage::internal
