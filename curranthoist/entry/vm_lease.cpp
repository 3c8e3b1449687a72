#include "curranthoist/entry/vm_lease.hpp"

#include <algorithm>

namespace curranthoist::entry {

std::uint64_t vm_lease::on_heartbeat_sent(base::instant now)
{
    ++last_sequence_;
    unanswered_[last_sequence_] = now;
    return last_sequence_;
}

bool vm_lease::on_reply(std::uint64_t sequence, bool granted, base::revision in_force)
{
    const auto found = unanswered_.find(sequence);
    if (found == unanswered_.end()) {
        return false;
    }
    if (!required_) {
        required_ = in_force;
    }
    if (granted) {
        end_ = std::max(end_, found->second + length);
    }
    // Replies arrive in order, so earlier heartbeats get none.
    unanswered_.erase(unanswered_.begin(), std::next(found));
    return true;
}

base::instant vm_lease::end(base::revision applied) const
{
    return required_ && applied >= *required_ ? end_ : base::instant();
}

std::optional<base::instant> vm_lease::oldest_unanswered() const
{
    return unanswered_.empty() ? std::nullopt
                               : std::optional(unanswered_.begin()->second);
}

} // namespace curranthoist::entry
