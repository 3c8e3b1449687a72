#pragma once

#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/storage/internal/byte_codec.hpp"
#include "curranthoist/storage/log_store.hpp"

#include <algorithm>
#include <cstdio>
#include <memory>
#include <stdexcept>
#include <system_error>
#include <utility>

// Definitions of log_store's members.

namespace curranthoist::storage {

namespace internal {

constexpr const char* identity_name = "identity";
constexpr const char* vote_name = "vote";
constexpr const char* snapshot_name = "snapshot";
constexpr const char* temporary_suffix = ".tmp";
constexpr const char* segment_prefix = "log-";
constexpr std::size_t segment_digits = 16;
// The largest number with segment_digits digits.
constexpr std::uint64_t last_segment = 9'999'999'999'999'999;

inline std::span<const std::uint8_t> as_bytes(const std::string& text)
{
    return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

inline std::string as_text(std::span<const std::uint8_t> bytes)
{
    return {bytes.begin(), bytes.end()};
}

inline bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

// How many of the entries, at least one, go into the next record.
inline std::size_t entries_per_record(std::span<const log_entry> entries)
{
    constexpr std::size_t wanted_bytes = std::size_t{16} * 1024 * 1024;
    std::size_t count = 0;
    std::size_t bytes = 0;
    while (count < entries.size()) {
        bytes += entries[count].data.size();
        if (count > 0 && bytes > wanted_bytes) {
            break;
        }
        ++count;
    }
    return count;
}

inline std::vector<std::uint8_t> encode_vote(const vote_record& vote)
{
    byte_writer writer;
    writer.put(vote.term.value());
    writer.put_string(as_bytes(vote.voted_for.str()));
    return writer.take();
}

inline std::vector<std::uint8_t> encode_snapshot(const log_snapshot& snapshot,
                                                 std::uint64_t first_segment)
{
    byte_writer writer;
    writer.put(first_segment);
    writer.put(snapshot.index.value());
    writer.put(snapshot.term.value());
    writer.put_string(snapshot.membership);
    writer.put_string(snapshot.data);
    return writer.take();
}

} // namespace internal

template <disk Disk>
std::string log_store<Disk>::segment_name(std::uint64_t number)
{
    std::string digits = std::to_string(number);
    digits.insert(0, internal::segment_digits - digits.size(), '0');
    return internal::segment_prefix + digits;
}

template <disk Disk>
std::optional<std::uint64_t> log_store<Disk>::segment_number(const std::string& name)
{
    const std::string prefix = internal::segment_prefix;
    if (!name.starts_with(prefix) ||
        name.size() != prefix.size() + internal::segment_digits ||
        name.find_first_not_of("0123456789", prefix.size()) != std::string::npos) {
        return std::nullopt;
    }
    return std::stoull(name.substr(prefix.size()));
}

template <disk Disk>
void log_store<Disk>::write_all(Disk& disk, typename Disk::file target,
                                std::span<const std::uint8_t> bytes)
{
    while (!bytes.empty()) {
        const std::size_t written = disk.write(target, bytes);
        if (written == 0) {
            throw std::system_error(std::make_error_code(std::errc::io_error),
                                    "disk accepts no bytes");
        }
        bytes = bytes.subspan(written);
    }
}

template <disk Disk>
void log_store<Disk>::write_file(Disk& disk, internal::file_kind kind,
                                 const std::string& name,
                                 std::span<const std::uint8_t> payload)
{
    const std::string temporary = name + internal::temporary_suffix;
    const typename Disk::file target = disk.create(temporary);
    try {
        write_all(disk, target, internal::seal_file(kind, payload));
        disk.sync(target);
    }
    catch (...) {
        disk.close(target);
        throw;
    }
    disk.close(target);
    disk.rename(temporary, name);
    disk.sync_folder();
}

template <disk Disk>
std::string log_store<Disk>::identity_file()
{
    return internal::identity_name;
}

template <disk Disk>
void log_store<Disk>::initialise(Disk& disk, const base::member_id& identity,
                                 std::span<const log_entry> first)
{
    base::findings found;
    for (const std::string& name : disk.list()) {
        if (name == internal::identity_name || name == internal::snapshot_name ||
            segment_number(name)) {
            found.add(name, "data folder already holds a member's state");
        }
    }
    found.throw_if_any();
    // The identity comes last: a folder with an identity and no vote has lost its vote.
    vote_record vote;
    if (!first.empty()) {
        vote.term = first.back().term;
    }
    write_file(disk, internal::file_kind::vote, internal::vote_name,
               internal::encode_vote(vote));
    internal::byte_writer writer;
    writer.put_string(internal::as_bytes(identity.str()));
    writer.put_string(internal::encode_entries(first));
    write_file(disk, internal::file_kind::identity, internal::identity_name,
               writer.bytes());
}

template <disk Disk>
template <class Action>
void log_store<Disk>::guarded(Action action)
{
    if (failed_) {
        throw std::logic_error("log store is used after a failed write");
    }
    failed_ = true;
    action();
    failed_ = false;
}

template <disk Disk>
void log_store<Disk>::write_vote(const vote_record& vote)
{
    guarded([&] {
        write_file(disk_, internal::file_kind::vote, internal::vote_name,
                   internal::encode_vote(vote));
    });
}

template <disk Disk>
void log_store<Disk>::append(std::span<const log_entry> entries)
{
    if (entries.empty()) {
        return;
    }
    guarded([&] {
        while (!entries.empty()) {
            const std::size_t count = internal::entries_per_record(entries);
            append_record(entries.first(count));
            entries = entries.subspan(count);
        }
    });
}

template <disk Disk>
void log_store<Disk>::append_record(std::span<const log_entry> entries)
{
    if (!current_ || current_bytes_ >= segment_bytes_) {
        start_segment();
    }
    const std::vector<std::uint8_t> record =
        internal::encode_record(segments_.back().number, current_bytes_, entries);
    write_all(disk_, *current_, record);
    disk_.sync(*current_);
    current_bytes_ += record.size();
    segments_.back().highest = std::max(segments_.back().highest, entries.back().index);
}

template <disk Disk>
void log_store<Disk>::start_segment()
{
    close_segment();
    const std::uint64_t number = next_segment_;
    current_ = disk_.create(segment_name(number));
    write_all(disk_, *current_, internal::encode_segment_header(number));
    disk_.sync(*current_);
    disk_.sync_folder();
    current_bytes_ = internal::segment_header_bytes;
    segments_.push_back({number, base::log_index()});
    ++next_segment_;
}

template <disk Disk>
void log_store<Disk>::close_segment()
{
    if (current_) {
        disk_.close(*current_);
        current_.reset();
    }
}

template <disk Disk>
void log_store<Disk>::write_snapshot(const log_snapshot& snapshot, bool discard_log)
{
    guarded([&] {
        std::uint64_t first = next_segment_;
        if (!discard_log) {
            for (const segment& one : segments_) {
                if (one.highest > snapshot.index) {
                    first = one.number;
                    break;
                }
            }
        }
        // From the rename on, the segments below `first` do not count any more, whether
        // their removal is durable or not.
        write_file(disk_, internal::file_kind::snapshot, internal::snapshot_name,
                   internal::encode_snapshot(snapshot, first));
        first_segment_ = first;
        if (first == next_segment_) {
            close_segment();
        }
        while (!segments_.empty() && segments_.front().number < first) {
            disk_.remove(segment_name(segments_.front().number));
            segments_.pop_front();
        }
        disk_.sync_folder();
    });
}

} // namespace curranthoist::storage
