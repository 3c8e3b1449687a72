#include "curranthoist/cored/founder_choice.hpp"

namespace curranthoist::cored {

std::optional<base::endpoint> founder_choice::ask(const base::endpoint& peers,
                                                  base::instant now)
{
    if (applicants_.empty()) {
        first_asked_ = now;
    }
    applicants_.insert(peers);
    if (!founder_ && now - first_asked_ >= gather_time) {
        founder_ = *applicants_.begin();
    }
    return founder_;
}

} // namespace curranthoist::cored
