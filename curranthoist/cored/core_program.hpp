#pragma once

#include "curranthoist/base/logger.hpp"
#include "curranthoist/cored/founder_choice.hpp"
#include "curranthoist/platform/node_settings.hpp"

#include <ev++.h>

#include <memory>

namespace curranthoist::cored {

class core_process;
class founding_phase;
class observer_process;

// What curranthoist-core runs: an observer on a VM without a disk, otherwise a member of
// the replicated log, after the founding phase if the deployment starts for the first
// time. While the disk refuses writes, a full one for instance, it observes as well: a
// member would end at its first write and be started again and again.
class core_program
{
public:
    // Throws base::findings_error if settings that it needs are missing, and
    // std::system_error if an address can't be bound.
    core_program(ev::loop_ref loop, platform::node_settings settings);
    ~core_program();
    core_program(const core_program&) = delete;
    core_program& operator=(const core_program&) = delete;

    void stop();
    void reload(const platform::node_settings& settings);
    // Every metric in the Prometheus text format; empty before it is a member.
    [[nodiscard]] std::string metrics_text();

private:
    void on_founder(const base::endpoint& founder);
    void on_member_start(ev::timer& watcher, int events);
    // Starts the member if the disk takes writes, otherwise an observer until it does.
    void start_member();

    ev::loop_ref loop_;
    platform::node_settings settings_;
    founder_choice choice_;
    base::endpoint founder_;
    // Ends the founding phase outside of its handlers, and looks at the disk again.
    ev::timer start_timer_;
    base::logger log_{"core"};
    std::unique_ptr<founding_phase> founding_;
    std::unique_ptr<observer_process> observer_;
    std::unique_ptr<core_process> member_;
};

} // namespace curranthoist::cored
