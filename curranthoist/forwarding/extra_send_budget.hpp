#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/instant.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

namespace curranthoist::forwarding {

// Limits the extra sends of this VM, that is, the sends of a request after its first one.
// In any window all VMs together may make at most ratio x requests + slack extra sends to
// a service. Each VM gets the ratio of its own requests and an equal share of the slack.
class extra_send_budget
{
public:
    struct options
    {
        double ratio = 0.2;
        // Extra sends per window that all VMs together may make beyond the ratio.
        double slack = 0.0;
        base::duration window{10'000};
    };

    explicit extra_send_budget(options budget_options)
        : options_(budget_options)
    {}

    // Sets the number of VMs that share the slack. A count of 0 is treated as 1.
    void set_vm_count(std::size_t count) { vm_count_ = count == 0 ? 1 : count; }
    // Records the first send of a request to a service.
    void on_request(const base::service_id& service, base::instant now);
    // Records one extra send and returns true, or returns false if the budget is used up.
    bool take(const base::service_id& service, base::instant now);
    // Returns the number of extra sends to the service in the current window.
    [[nodiscard]] std::uint64_t used(const base::service_id& service) const;

private:
    // Counts of one slice of the window.
    struct slice
    {
        std::int64_t index = 0;
        std::uint64_t requests = 0;
        std::uint64_t extra = 0;
    };
    using history = std::deque<slice>;

    slice& current_slice(history& slices, base::instant now) const;

    options options_;
    std::size_t vm_count_ = 1;
    std::map<base::service_id, history> services_;
};

} // namespace curranthoist::forwarding
