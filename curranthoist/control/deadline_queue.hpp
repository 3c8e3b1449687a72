#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/instant.hpp"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace curranthoist::control {

// The next time at which each VM has to be checked, so that a quiet leader does not look
// at all VMs. A check may come too early, never too late.
//
//     queue.check_by(vm, heard + expiry_wait);
//     for (const base::vm_id& vm : queue.take_due(now)) { ... }
class deadline_queue
{
public:
    // The VM is due at `at` or earlier. An earlier time that was set before stays: moving
    // it at each heartbeat would cost more than the check that comes too early.
    void check_by(const base::vm_id& vm, base::instant at)
    {
        const auto [found, added] = times_.try_emplace(vm, at);
        if (!added) {
            if (found->second <= at) {
                return;
            }
            order_.erase({found->second, vm});
            found->second = at;
        }
        order_.emplace(at, vm);
    }
    // The VM is due at the next call of take_due().
    void check_now(const base::vm_id& vm) { check_by(vm, base::instant()); }
    // The VMs that are due, which leave the queue.
    std::vector<base::vm_id> take_due(base::instant now)
    {
        std::vector<base::vm_id> due;
        while (!order_.empty() && order_.begin()->first <= now) {
            due.push_back(order_.begin()->second);
            times_.erase(due.back());
            order_.erase(order_.begin());
        }
        return due;
    }
    void clear()
    {
        times_.clear();
        order_.clear();
    }

private:
    std::map<base::vm_id, base::instant> times_;
    std::set<std::pair<base::instant, base::vm_id>> order_;
};

} // namespace curranthoist::control
