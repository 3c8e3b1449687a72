#pragma once

#include "curranthoist/storage/internal/log_store.hpp"

#include <algorithm>
#include <memory>
#include <utility>

// How log_store opens a data folder.

namespace curranthoist::storage {

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
    const auto identity =
        read_file(internal::file_kind::identity, internal::identity_name, true, found);
    if (identity) {
        internal::byte_reader reader(*identity);
        recovered_.identity = base::member_id(internal::as_text(reader.get_string()));
        auto first = internal::decode_entries(reader.get_string());
        if (!reader.ok() || !reader.at_end() || recovered_.identity.empty() || !first) {
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
        if (!reader.ok() || !reader.at_end()) {
            found.add(std::string(internal::vote_name) + ":0", "file is malformed");
        }
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
    if (!reader.ok() || !reader.at_end() || first_segment_ > internal::last_segment) {
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
    if (next_segment_ > internal::last_segment) {
        found.add(segment_name(internal::last_segment),
                  "no number is left for the next segment");
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

} // namespace curranthoist::storage
