#pragma once

#include "curranthoist/base/instant.hpp"

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

namespace curranthoist::forwarding {

// Decides when a gatherer reports the parts that failed before its first report.
//
// Load pattern: many targets reset their connections or fail at once, within a few
// milliseconds of the send. Only the process that took the query may send such a part
// again, and the first report, which waits for the slow parts, comes after two fifths of
// the query's objective. What fails within a short time is reported together.
class failed_parts
{
public:
    // Parts of one query that fail together do so within a few milliseconds.
    static constexpr base::duration collect_time{3};

    void add(std::size_t part, base::instant now)
    {
        if (parts_.empty()) {
            due_ = now + collect_time;
        }
        parts_.push_back(part);
    }
    // Returns when the parts are to be reported; nothing if there are none.
    [[nodiscard]] std::optional<base::instant> due() const
    {
        return parts_.empty() ? std::nullopt : std::optional(due_);
    }
    // Returns the parts, which are then no longer held.
    [[nodiscard]] std::vector<std::size_t> take() { return std::exchange(parts_, {}); }

private:
    std::vector<std::size_t> parts_;
    base::instant due_;
};

} // namespace curranthoist::forwarding
