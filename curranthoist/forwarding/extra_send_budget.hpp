#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/instant.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

namespace curranthoist::forwarding {

// Limits one VM's share of the sends beyond the first of each request. All VMs together
// may make at most ratio x requests + slack such sends to a service in any window; each
// VM takes its own requests and an equal part of the slack.
class extra_send_budget
{
public:
    struct options
    {
        double ratio = 0.2;
        // Of all VMs together.
        double slack = 0.0;
        base::duration window{10'000};
    };

    explicit extra_send_budget(options from)
        : options_(from)
    {}

    // The number of VMs that share the slack; at least 1.
    void set_vm_count(std::size_t count) { vm_count_ = count == 0 ? 1 : count; }
    // Records the first send of a request to a service.
    void on_request(const base::service_id& service, base::instant now);
    // Records and permits one more send, or returns false.
    bool take(const base::service_id& service, base::instant now);
    // Extra sends to the service in the current window.
    [[nodiscard]] std::uint64_t used(const base::service_id& service) const;

private:
    // Counts of one slice of the window.
    struct slice
    {
        std::int64_t number = 0;
        std::uint64_t requests = 0;
        std::uint64_t extra = 0;
    };
    using history = std::deque<slice>;

    slice& current(history& of, base::instant now) const;

    options options_;
    std::size_t vm_count_ = 1;
    std::map<base::service_id, history> services_;
};

} // namespace curranthoist::forwarding
