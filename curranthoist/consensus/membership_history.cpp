#include "curranthoist/consensus/membership_history.hpp"

#include <algorithm>
#include <utility>

namespace curranthoist::consensus {

const membership& membership_history::at(base::log_index index) const
{
    const auto after = std::find_if(changes_.begin(), changes_.end(),
                                    [&](const change& one) { return one.index > index; });
    return after == changes_.begin() ? changes_.front().value : std::prev(after)->value;
}

void membership_history::append(base::log_index index, membership value)
{
    changes_.push_back({index, std::move(value)});
}

void membership_history::truncate_from(base::log_index from)
{
    while (changes_.size() > 1 && changes_.back().index >= from) {
        changes_.pop_back();
    }
}

void membership_history::drop_before(base::log_index index)
{
    while (changes_.size() > 1 && changes_[1].index <= index) {
        changes_.pop_front();
    }
}

void membership_history::reset(base::log_index index, membership value)
{
    changes_.assign(1, {index, std::move(value)});
}

} // namespace curranthoist::consensus
