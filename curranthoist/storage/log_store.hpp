#pragma once

#include "curranthoist/base/findings.hpp"
#include "curranthoist/storage/disk.hpp"
#include "curranthoist/storage/internal/record_codec.hpp"
#include "curranthoist/storage/recovered_log.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace curranthoist::storage {

// The durable state of one member: its identity, term and vote, log entries in segment
// files, and one log snapshot. Every function that writes returns after the sync.
//
//     storage::log_store<storage::posix_disk>::initialise(disk, id, first_entries);
//     storage::log_store store(disk);
//     const storage::recovered_log state = store.take_recovered();
//     store.append(entries);
//
// When a write or sync throws, the process must stop: what the disk holds is unknown
// until the folder is opened again. Later calls throw std::logic_error.
template <disk Disk>
class log_store
{
public:
    static constexpr std::uint64_t default_segment_bytes =
        std::uint64_t{16} * 1024 * 1024;

    // Name of the file whose presence shows that the folder belongs to a member.
    static std::string identity_file();
    // Writes the identity of a new member into a folder that has none. `first` are the
    // log entries that every initial member starts with; a replacement starts without.
    // Throws base::findings_error if the folder holds a member's state already.
    static void initialise(Disk& disk, const base::member_id& identity,
                           std::span<const log_entry> first);

    // Opens the folder: cuts a torn tail and removes obsolete files. Throws
    // base::findings_error if there is no identity, or naming every damaged file and the
    // offset in it. The disk must outlive the store. A new segment starts when the
    // current one has `segment_bytes`.
    explicit log_store(Disk& disk, std::uint64_t segment_bytes = default_segment_bytes);
    ~log_store();
    log_store(const log_store&) = delete;
    log_store& operator=(const log_store&) = delete;

    // What was found at open; call it once.
    [[nodiscard]] recovered_log take_recovered() { return std::move(recovered_); }
    // True if a torn tail was cut at open.
    [[nodiscard]] bool cut_torn_tail() const { return cut_torn_tail_; }

    void write_vote(const vote_record& vote);
    // Appends entries with consecutive indexes. The first one replaces the entry at its
    // index, if any, and all later ones.
    void append(std::span<const log_entry> entries);
    // Stores a log snapshot and removes the segments that it makes obsolete: those with
    // entries up to its index only or, with `discard_log`, all of them.
    void write_snapshot(const log_snapshot& snapshot, bool discard_log);

private:
    struct segment
    {
        std::uint64_t number;
        base::log_index highest;
    };

    static void write_file(Disk& disk, internal::file_kind kind, const std::string& name,
                           std::span<const std::uint8_t> payload);
    static void write_all(Disk& disk, typename Disk::file target,
                          std::span<const std::uint8_t> bytes);
    static std::string segment_name(std::uint64_t number);
    static std::optional<std::uint64_t> segment_number(const std::string& name);

    // Runs `action`; if it throws, marks the store as failed.
    template <class Action>
    void guarded(Action action);
    std::optional<std::vector<std::uint8_t>> read_file(internal::file_kind kind,
                                                       const std::string& name,
                                                       bool required,
                                                       base::findings& found) const;
    void read_small_files(const std::vector<std::string>& names, base::findings& found);
    void read_snapshot(base::findings& found);
    void read_segments(const std::vector<std::string>& names, base::findings& found);
    void replay(const std::string& name, std::vector<log_entry> entries,
                base::findings& found);
    void repair_last_segment(const std::string& name,
                             const internal::segment_content& content);
    void remove_obsolete(const std::vector<std::string>& names);
    void append_record(std::span<const log_entry> entries);
    void start_segment();
    void close_segment();

    Disk& disk_;
    std::uint64_t segment_bytes_;
    recovered_log recovered_;
    bool cut_torn_tail_ = false;
    bool failed_ = false;
    // Segments below this number are obsolete.
    std::uint64_t first_segment_ = 1;
    std::uint64_t next_segment_ = 1;
    std::deque<segment> segments_;
    // The open last segment and its size.
    std::optional<typename Disk::file> current_;
    std::uint64_t current_bytes_ = 0;
    // The index of the last entry read during open.
    std::optional<base::log_index> replayed_;
};

} // namespace curranthoist::storage

#include "curranthoist/storage/internal/log_store.hpp"
#include "curranthoist/storage/internal/log_store_open.hpp"
