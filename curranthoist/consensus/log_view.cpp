#include "curranthoist/consensus/log_view.hpp"

#include <utility>

namespace curranthoist::consensus {

base::log_index log_view::last_index() const
{
    return base::log_index(base_index_.value() + entries_.size());
}

base::term log_view::last_term() const
{
    return entries_.empty() ? base_term_ : entries_.back().term;
}

std::optional<base::term> log_view::term_at(base::log_index index) const
{
    if (index < base_index_ || index > last_index()) {
        return std::nullopt;
    }
    return index == base_index_ ? base_term_ : at(index).term;
}

const storage::log_entry& log_view::at(base::log_index index) const
{
    return entries_[index.value() - base_index_.value() - 1];
}

base::log_index log_view::first_of_term(base::log_index index) const
{
    const base::term wanted = at(index).term;
    std::uint64_t result = index.value();
    while (result - 1 > base_index_.value() &&
           at(base::log_index(result - 1)).term == wanted) {
        --result;
    }
    return base::log_index(result);
}

std::vector<storage::log_entry> log_view::slice(base::log_index from,
                                                std::size_t max_entries,
                                                std::size_t max_bytes) const
{
    std::vector<storage::log_entry> result;
    std::size_t bytes = 0;
    for (base::log_index index = from; index <= last_index(); index = index.next()) {
        const storage::log_entry& entry = at(index);
        bytes += entry.data.size();
        const bool over = bytes > max_bytes || result.size() >= max_entries;
        if (over && !result.empty()) {
            break;
        }
        result.push_back(entry);
    }
    return result;
}

void log_view::append(storage::log_entry entry)
{
    entries_.push_back(std::move(entry));
}

void log_view::truncate_from(base::log_index from)
{
    while (!entries_.empty() && entries_.back().index >= from) {
        entries_.pop_back();
    }
}

void log_view::drop_through(base::log_index through)
{
    while (!entries_.empty() && entries_.front().index <= through) {
        base_index_ = entries_.front().index;
        base_term_ = entries_.front().term;
        entries_.pop_front();
    }
}

void log_view::reset(base::log_index index, base::term term)
{
    entries_.clear();
    base_index_ = index;
    base_term_ = term;
}

} // namespace curranthoist::consensus
