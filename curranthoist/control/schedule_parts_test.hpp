#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/control/cluster_state.hpp"
#include "curranthoist/control/controller.hpp"
#include "curranthoist/control/simulated_vm_test.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace curranthoist::control {

inline base::target_id target(int number)
{
    return base::target_id("t" + std::to_string(number));
}

// One control member.
struct schedule_member
{
    cluster_state state;
    std::unique_ptr<controller> leader;
    std::size_t applied = 0;
};

// One process of a VM and its connection.
struct schedule_process
{
    std::unique_ptr<simulated_vm> vm;
    bool running = true;
    std::size_t member = 0;
    session_number session = 0;
    base::instant next_heartbeat;
    base::instant last_grant;
    base::instant cut_until;
    base::instant in_order_up;
    base::instant in_order_down;
};

// The committed configurations, to check that no VM has put another one together.
class committed_configurations
{
public:
    void note(const configuration& value) { by_revision_.emplace(value.number, value); }
    [[nodiscard]] bool has(const configuration& value) const
    {
        const auto found = by_revision_.find(value.number);
        return value == configuration() ||
               (found != by_revision_.end() && found->second == value);
    }

private:
    std::map<base::revision, configuration> by_revision_;
};

} // namespace curranthoist::control
