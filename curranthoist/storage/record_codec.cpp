#include "curranthoist/storage/internal/record_codec.hpp"

#include "curranthoist/storage/internal/byte_codec.hpp"

#include <xxhash.h>

#include <algorithm>
#include <stdexcept>

namespace curranthoist::storage::internal {

namespace {

constexpr std::uint64_t segment_mark = 0x31474f4c54534843; // "CHSTLOG1"
constexpr std::uint32_t record_mark = 0x31524843;          // "CHR1"
constexpr std::uint64_t file_mark = 0x31454c4946534843;    // "CHSFILE1"
constexpr std::size_t checked_header_bytes = 8;
// The smallest unit that a disk writes as a whole.
constexpr std::size_t sector_bytes = 512;
// Mixes the segment's number into the seed; any odd number with spread bits does.
constexpr std::uint64_t segment_seed_factor = 0x9e3779b97f4a7c15;

std::uint64_t place_seed(std::uint64_t segment, std::uint64_t offset)
{
    return segment * segment_seed_factor + offset;
}

std::uint64_t check_sum(std::span<const std::uint8_t> bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

struct record_header
{
    std::uint32_t length = 0;
    std::uint64_t body_check = 0;
};

std::optional<record_header> read_header(std::span<const std::uint8_t> rest,
                                         std::uint64_t seed)
{
    if (rest.size() < record_header_bytes) {
        return std::nullopt;
    }
    byte_reader reader(rest);
    const auto mark = reader.get<std::uint32_t>();
    record_header header;
    header.length = reader.get<std::uint32_t>();
    const auto header_check = reader.get<std::uint64_t>();
    header.body_check = reader.get<std::uint64_t>();
    if (mark != record_mark ||
        header_check != check_sum(rest.first(checked_header_bytes), seed)) {
        return std::nullopt;
    }
    return header;
}

// The body of the record at the start of `rest`, if all of it is good.
std::optional<std::span<const std::uint8_t>>
read_record(std::span<const std::uint8_t> rest, std::uint64_t seed)
{
    const std::optional<record_header> header = read_header(rest, seed);
    if (!header || header->length > rest.size() - record_header_bytes) {
        return std::nullopt;
    }
    const std::span<const std::uint8_t> body =
        rest.subspan(record_header_bytes, header->length);
    if (header->body_check != check_sum(body, seed)) {
        return std::nullopt;
    }
    return body;
}

bool has_record_after(std::uint64_t segment, std::span<const std::uint8_t> bytes,
                      std::uint64_t offset)
{
    for (std::uint64_t at = offset + 1; at + record_header_bytes <= bytes.size(); ++at) {
        if (read_record(bytes.subspan(at), place_seed(segment, at))) {
            return true;
        }
    }
    return false;
}

// True if the part of any sector that lies in [offset, end) is all zero: a sector that
// was allocated for an unsynced write but never written.
bool has_unwritten_sector(std::span<const std::uint8_t> bytes, std::uint64_t offset)
{
    std::uint64_t from = offset;
    while (from < bytes.size()) {
        const std::uint64_t to = std::min<std::uint64_t>(
            (from / sector_bytes + 1) * sector_bytes, bytes.size());
        const std::span<const std::uint8_t> part = bytes.subspan(from, to - from);
        if (std::all_of(part.begin(), part.end(), [](auto byte) { return byte == 0; })) {
            return true;
        }
        from = to;
    }
    return false;
}

// Whether the bad bytes from `offset` on are the rest of one append that was never
// synced. Only such an append may be missing: it was never acknowledged. A complete
// record with a wrong sum and no unwritten sector has been changed after it was written.
bool is_torn_tail(std::uint64_t segment, std::span<const std::uint8_t> bytes,
                  std::uint64_t offset)
{
    if (has_record_after(segment, bytes, offset)) {
        return false;
    }
    const std::uint64_t rest = bytes.size() - offset;
    if (rest < record_header_bytes) {
        return true;
    }
    const std::optional<record_header> header =
        read_header(bytes.subspan(offset), place_seed(segment, offset));
    if (!header) {
        return has_unwritten_sector(bytes, offset);
    }
    const std::uint64_t whole = record_header_bytes + std::uint64_t{header->length};
    return rest < whole || (rest == whole && has_unwritten_sector(bytes, offset));
}

} // namespace

std::vector<std::uint8_t> encode_segment_header(std::uint64_t segment)
{
    byte_writer writer;
    writer.put(segment_mark);
    writer.put(segment);
    return writer.take();
}

bool is_segment_header(std::span<const std::uint8_t> bytes, std::uint64_t segment)
{
    const std::vector<std::uint8_t> expected = encode_segment_header(segment);
    return bytes.size() >= expected.size() &&
           std::equal(expected.begin(), expected.end(), bytes.begin());
}

std::vector<std::uint8_t> encode_entries(std::span<const log_entry> entries)
{
    byte_writer writer;
    writer.put(static_cast<std::uint32_t>(entries.size()));
    for (const log_entry& entry : entries) {
        writer.put(entry.term.value());
        writer.put(entry.index.value());
        writer.put(static_cast<std::uint8_t>(entry.kind));
        writer.put_string(entry.data);
    }
    return writer.take();
}

std::optional<std::vector<log_entry>> decode_entries(std::span<const std::uint8_t> bytes)
{
    byte_reader reader(bytes);
    const auto count = reader.get<std::uint32_t>();
    std::vector<log_entry> entries;
    for (std::uint32_t i = 0; i < count && reader.ok(); ++i) {
        log_entry entry;
        entry.term = base::term(reader.get<std::uint64_t>());
        entry.index = base::log_index(reader.get<std::uint64_t>());
        entry.kind = static_cast<entry_kind>(reader.get<std::uint8_t>());
        entry.data = reader.get_string();
        if (entry.kind > entry_kind::membership) {
            return std::nullopt;
        }
        entries.push_back(std::move(entry));
    }
    if (!reader.ok() || !reader.at_end()) {
        return std::nullopt;
    }
    return entries;
}

std::vector<std::uint8_t> encode_record(std::uint64_t segment, std::uint64_t offset,
                                        std::span<const log_entry> entries)
{
    const std::vector<std::uint8_t> body = encode_entries(entries);
    if (body.size() > max_record_bytes) {
        throw std::length_error("log record exceeds the size limit");
    }
    const std::uint64_t seed = place_seed(segment, offset);
    byte_writer writer;
    writer.put(record_mark);
    writer.put(static_cast<std::uint32_t>(body.size()));
    writer.put(check_sum(writer.bytes(), seed));
    writer.put(check_sum(body, seed));
    writer.put_bytes(body);
    return writer.take();
}

segment_content decode_segment(std::uint64_t segment, std::span<const std::uint8_t> bytes,
                               bool is_last)
{
    segment_content content;
    if (!is_segment_header(bytes, segment)) {
        // A segment gets its first record only after its header is synced.
        const bool never_synced =
            bytes.size() < segment_header_bytes ||
            (bytes.size() == segment_header_bytes && has_unwritten_sector(bytes, 0));
        if (is_last && never_synced) {
            content.torn = true;
        }
        else {
            content.damaged_at = 0;
            content.damage = "segment header is damaged";
        }
        return content;
    }
    std::uint64_t offset = segment_header_bytes;
    while (offset < bytes.size()) {
        const auto body = read_record(bytes.subspan(offset), place_seed(segment, offset));
        if (!body) {
            break;
        }
        std::optional<std::vector<log_entry>> entries = decode_entries(*body);
        if (!entries) {
            content.damaged_at = offset;
            content.damage = "record holds malformed entries";
            return content;
        }
        std::move(entries->begin(), entries->end(), std::back_inserter(content.entries));
        offset += record_header_bytes + body->size();
    }
    content.good_bytes = offset;
    if (offset < bytes.size()) {
        if (is_last && is_torn_tail(segment, bytes, offset)) {
            content.torn = true;
        }
        else {
            content.damaged_at = offset;
            content.damage = "record fails its checksum";
        }
    }
    return content;
}

std::vector<std::uint8_t> seal_file(file_kind kind, std::span<const std::uint8_t> payload)
{
    byte_writer writer;
    writer.put(file_mark);
    writer.put(check_sum(payload, static_cast<std::uint64_t>(kind)));
    writer.put_string(payload);
    return writer.take();
}

std::optional<std::span<const std::uint8_t>>
open_file(file_kind kind, std::span<const std::uint8_t> bytes)
{
    byte_reader reader(bytes);
    const auto mark = reader.get<std::uint64_t>();
    const auto check = reader.get<std::uint64_t>();
    const auto size = reader.get<std::uint64_t>();
    const std::span<const std::uint8_t> payload = reader.get_bytes(size);
    if (!reader.ok() || !reader.at_end() || mark != file_mark ||
        check != check_sum(payload, static_cast<std::uint64_t>(kind))) {
        return std::nullopt;
    }
    return payload;
}

} // namespace curranthoist::storage::internal
