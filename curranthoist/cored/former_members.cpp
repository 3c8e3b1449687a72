#include "curranthoist/cored/former_members.hpp"

#include <algorithm>
#include <utility>

namespace curranthoist::cored {

void former_members::update(std::span<const consensus::member> members)
{
    std::vector<base::endpoint> next;
    next.reserve(members.size());
    for (const consensus::member& one : members) {
        next.push_back(one.address);
    }
    if (next == current_) {
        return;
    }
    const auto is_current = [&next](const base::endpoint& address) {
        return std::find(next.begin(), next.end(), address) != next.end();
    };
    std::erase_if(former_, is_current);
    for (const base::endpoint& address : current_) {
        if (!is_current(address) &&
            std::find(former_.begin(), former_.end(), address) == former_.end()) {
            former_.push_back(address);
        }
    }
    if (former_.size() > max_addresses) {
        former_.erase(former_.begin(), former_.end() - max_addresses);
    }
    current_ = std::move(next);
}

} // namespace curranthoist::cored
