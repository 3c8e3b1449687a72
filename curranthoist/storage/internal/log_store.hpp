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
log_store<Disk>::log_store(Disk& disk, std::uint64_t segment_bytes)
    : disk_(disk)
    , segment_bytes_(segment_bytes)
{
    const std::vector<std::string> names = disk_.list();
    base::findings found;
    read_small_files(names, found);
    // Without these files it is unknown which segments count.
    found.throw_if_any();
    read_segments(names, found);
    found.throw_if_any();
    remove_obsolete(names);
}

template <disk Disk>
log_store<Disk>::~log_store()
{
    close_segment();
}

template <disk Disk>
std::optional<std::vector<std::uint8_t>>
log_store<Disk>::read_file(internal::file_kind kind, const std::string& name,
                           bool required, base::findings& found) const
{
    if (!required) {
        return std::nullopt;
    }
    const std::vector<std::uint8_t> bytes = disk_.read(name);
    const auto payload = internal::open_file(kind, bytes);
    if (!payload) {
        found.add(name + ":0", "file fails its checksum");
        return std::nullopt;
    }
    return std::vector<std::uint8_t>(payload->begin(), payload->end());
}

template <disk Disk>
void log_store<Disk>::read_small_files(const std::vector<std::string>& names,
                                       base::findings& found)
{
    const bool has_identity = internal::contains(names, internal::identity_name);
    if (!has_identity) {
        found.add(internal::identity_name,
                  "data folder has no identity; initialise it as a new member");
        return;
    }
    const auto identity = read_file(internal::file_kind::identity,
                                    internal::identity_name, true, found);
    if (identity) {
        internal::byte_reader reader(*identity);
        recovered_.identity = base::member_id(internal::as_text(reader.get_string()));
        auto first = internal::decode_entries(reader.get_string());
        if (!reader.ok() || !first) {
            found.add(std::string(internal::identity_name) + ":0", "file is malformed");
        }
        else {
            replay(internal::identity_name, std::move(*first), found);
        }
    }
    if (!internal::contains(names, internal::vote_name)) {
        found.add(internal::vote_name,
                  "term and vote are missing; this member must be replaced");
        return;
    }
    const auto vote =
        read_file(internal::file_kind::vote, internal::vote_name, true, found);
    if (vote) {
        internal::byte_reader reader(*vote);
        recovered_.vote.term = base::term(reader.get<std::uint64_t>());
        recovered_.vote.voted_for =
            base::member_id(internal::as_text(reader.get_string()));
    }
    if (internal::contains(names, internal::snapshot_name)) {
        read_snapshot(found);
    }
}

template <disk Disk>
void log_store<Disk>::read_snapshot(base::findings& found)
{
    const auto bytes =
        read_file(internal::file_kind::snapshot, internal::snapshot_name, true, found);
    if (!bytes) {
        return;
    }
    internal::byte_reader reader(*bytes);
    first_segment_ = reader.get<std::uint64_t>();
    auto snapshot = std::make_shared<log_snapshot>();
    snapshot->index = base::log_index(reader.get<std::uint64_t>());
    snapshot->term = base::term(reader.get<std::uint64_t>());
    snapshot->membership = reader.get_string();
    snapshot->data = reader.get_string();
    if (!reader.ok() || !reader.at_end()) {
        found.add(std::string(internal::snapshot_name) + ":0", "file is malformed");
        return;
    }
    recovered_.snapshot = std::move(snapshot);
    recovered_.entries.clear();
    replayed_.reset();
}

template <disk Disk>
void log_store<Disk>::read_segments(const std::vector<std::string>& names,
                                    base::findings& found)
{
    std::vector<std::uint64_t> numbers;
    for (const std::string& name : names) {
        const std::optional<std::uint64_t> number = segment_number(name);
        if (number && *number >= first_segment_) {
            numbers.push_back(*number);
        }
    }
    std::sort(numbers.begin(), numbers.end());
    next_segment_ = first_segment_;
    for (const std::uint64_t number : numbers) {
        const std::string name = segment_name(number);
        if (number != next_segment_) {
            found.add(segment_name(next_segment_), "segment file is missing");
            return;
        }
        next_segment_ = number + 1;
        const bool is_last = number == numbers.back();
        internal::segment_content content =
            internal::decode_segment(number, disk_.read(name), is_last);
        if (content.damaged_at) {
            found.add(name + ":" + std::to_string(*content.damaged_at), content.damage);
            continue;
        }
        segments_.push_back({number, base::log_index()});
        for (const log_entry& entry : content.entries) {
            segments_.back().highest = std::max(segments_.back().highest, entry.index);
        }
        replay(name, std::move(content.entries), found);
        if (is_last && found.empty()) {
            repair_last_segment(name, content);
        }
    }
}

template <disk Disk>
void log_store<Disk>::replay(const std::string& name, std::vector<log_entry> entries,
                             base::findings& found)
{
    const base::log_index start =
        recovered_.snapshot ? recovered_.snapshot->index : base::log_index();
    for (log_entry& entry : entries) {
        const base::log_index next = replayed_ ? replayed_->next() : start.next();
        if (entry.index > next) {
            found.add(name + ":0", "entries before index " +
                                       std::to_string(entry.index.value()) +
                                       " are missing");
            return;
        }
        replayed_ = entry.index;
        std::vector<log_entry>& kept = recovered_.entries;
        while (!kept.empty() && kept.back().index >= entry.index) {
            kept.pop_back();
        }
        if (entry.index > start) {
            kept.push_back(std::move(entry));
        }
    }
}

template <disk Disk>
void log_store<Disk>::repair_last_segment(const std::string& name,
                                          const internal::segment_content& content)
{
    if (content.torn && content.good_bytes == 0) {
        // The segment's creation was not finished; its number is used again.
        disk_.remove(name);
        disk_.sync_folder();
        segments_.pop_back();
        --next_segment_;
        cut_torn_tail_ = true;
        return;
    }
    current_ = disk_.open(name);
    current_bytes_ = content.good_bytes;
    if (content.torn) {
        disk_.truncate(*current_, current_bytes_);
        cut_torn_tail_ = true;
    }
    // A record that was written but not synced before the process ended may have been
    // read from the page cache; it must be durable before anyone relies on it.
    disk_.sync(*current_);
    disk_.sync_folder();
}

template <disk Disk>
void log_store<Disk>::remove_obsolete(const std::vector<std::string>& names)
{
    bool removed = false;
    for (const std::string& name : names) {
        const std::optional<std::uint64_t> number = segment_number(name);
        if (name.ends_with(internal::temporary_suffix) ||
            (number && *number < first_segment_)) {
            disk_.remove(name);
            removed = true;
        }
    }
    if (removed) {
        disk_.sync_folder();
    }
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
