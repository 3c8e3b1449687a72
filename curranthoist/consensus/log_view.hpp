#pragma once

#include "curranthoist/storage/log_entry.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace curranthoist::consensus {

// The log entries that a replica holds in memory, with the index and term of the entry
// before the first one. Indexes have no gaps.
class log_view
{
public:
    // Index and term of the last entry, or of the one that a log snapshot ends with.
    [[nodiscard]] base::log_index last_index() const;
    [[nodiscard]] base::term last_term() const;
    // The index before the first entry held.
    [[nodiscard]] base::log_index base_index() const { return base_index_; }
    // The term at `index`; nothing outside [base_index(), last_index()].
    [[nodiscard]] std::optional<base::term> term_at(base::log_index index) const;
    // The entry at `index`, which must be in (base_index(), last_index()].
    [[nodiscard]] const storage::log_entry& at(base::log_index index) const;
    // The lowest index in (base_index(), `index`] from which on all terms equal the one
    // at `index`.
    [[nodiscard]] base::log_index first_of_term(base::log_index index) const;
    // Copies entries from `from` on, at least one if there is one, until either limit.
    [[nodiscard]] std::vector<storage::log_entry>
    slice(base::log_index from, std::size_t max_entries, std::size_t max_bytes) const;

    // Adds an entry; its index must be last_index() + 1.
    void append(storage::log_entry entry);
    // Drops the entry at `from` and all later ones.
    void truncate_from(base::log_index from);
    // Drops entries up to and including `through`, which must be held.
    void drop_through(base::log_index through);
    // Drops everything; the log continues after the given entry.
    void reset(base::log_index index, base::term term);

private:
    base::log_index base_index_;
    base::term base_term_;
    std::deque<storage::log_entry> entries_;
};

} // namespace curranthoist::consensus
