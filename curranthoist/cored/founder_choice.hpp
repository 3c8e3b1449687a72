#pragma once

#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/base/instant.hpp"

#include <optional>
#include <set>

namespace curranthoist::cored {

// Names the one process that founds the replicated log when a deployment starts for the
// first time. The processes with an empty disk ask the first seed, which all settings
// name alike; it waits for more of them and names the lowest address. The name never
// changes.
class founder_choice
{
public:
    // All processes start within 0.3 s of each other.
    static constexpr base::duration gather_time{500};

    // A process that others reach at `peers` asks. Returns the founder once it is named.
    std::optional<base::endpoint> ask(const base::endpoint& peers, base::instant now);
    // There is a log already: everyone joins the member at this address.
    void settle(const base::endpoint& member)
    {
        if (!founder_) {
            founder_ = member;
        }
    }

private:
    std::set<base::endpoint> applicants_;
    base::instant first_asked_;
    std::optional<base::endpoint> founder_;
};

} // namespace curranthoist::cored
