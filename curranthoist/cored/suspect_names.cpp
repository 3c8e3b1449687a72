#include "curranthoist/cored/suspect_names.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace curranthoist::cored {

void suspect_names::set(std::vector<std::string> names)
{
    if (names == lists_.back().names) {
        return;
    }
    lists_.push_back({number() + 1, std::move(names)});
    if (lists_.size() > max_lists) {
        lists_.pop_front();
    }
}

suspect_names::change suspect_names::since(std::uint64_t number) const
{
    const auto held = std::find_if(lists_.begin(), lists_.end(),
                                   [&](const list& one) { return one.number == number; });
    change result;
    if (held == lists_.end()) {
        result.added = names();
        return result;
    }
    result.is_whole = false;
    std::set_difference(names().begin(), names().end(), held->names.begin(),
                        held->names.end(), std::back_inserter(result.added));
    std::set_difference(held->names.begin(), held->names.end(), names().begin(),
                        names().end(), std::back_inserter(result.removed));
    return result;
}

} // namespace curranthoist::cored
