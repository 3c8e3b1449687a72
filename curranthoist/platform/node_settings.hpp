#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/base/identifiers.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace curranthoist::platform {

// What the platform tells one process about its VM, from the settings file. Fields that a
// role does not need may be absent.
struct node_settings
{
    // The VM's name, unique among the VMs that run now.
    std::string name;
    base::zone_id zone;
    // The VM's own address.
    std::string address;
    // Where callers connect (entry processes).
    std::optional<base::endpoint> callers;
    // Where the load balancer asks whether the VM takes new connections.
    std::optional<base::endpoint> readiness;
    // Where operators connect (control processes).
    std::optional<base::endpoint> operators;
    // The first port that is free for messages between the project's own processes.
    std::uint16_t first_internal_port = 0;
    // Operators' addresses of some control processes, as far as known when the file was
    // written. They may be out of date.
    std::vector<base::endpoint> seeds;
    // True only when the whole deployment starts for the first time, with empty disks.
    bool founds_deployment = false;
    // Empty on a VM without a disk.
    std::string data_folder;
    // Where the platform's list of targets is read.
    std::optional<base::endpoint> list_address;
    // How far the platform's list may lag behind.
    base::duration list_lag{1000};
    // What a process may use before the platform ends it.
    std::size_t memory_bytes = std::size_t{256} * 1024 * 1024;
    // The descriptors that a process may have open.
    std::size_t max_descriptors = 4096;
    // What the VM's link carries; all its processes share it.
    double link_bytes_per_s = 125'000'000.0;
    // Calls a second that the list accepts from all VMs together.
    double list_calls_per_s = 1.0;
    // From this number of front processes on, some of them gather the parts of large
    // queries for the others; 0 for never. Fewer reach the targets faster by themselves.
    std::size_t gather_from_fronts = 40;
    // The wait that a caller accepts for a query that stays in its zone; 0 if leaving the
    // zone costs nothing.
    base::duration zone_cost{0};
    // From the acknowledgement of a configuration until it is in force on every VM.
    base::duration configuration_limit{3000};
    // From the acknowledgement of a configuration that withdraws a key until no VM takes
    // the key, in touch with the core or not; nothing if only VMs in touch are bound.
    std::optional<base::duration> revocation_limit;
    // Requests of a team beyond its limit that all VMs together may admit in some
    // seconds.
    double team_limit_slack = 0.0;
    // From SIGTERM to SIGKILL.
    base::duration stop_limit{6000};
    // Extra sends to a service's targets, by all VMs together within extra_window: at
    // most extra_ratio of its requests and extra_slack.
    double extra_ratio = 0.2;
    double extra_slack = 0.0;
    base::duration extra_window{10'000};
    // Requests that a cold target may get in one second from all VMs together: its own
    // rate times cold_factor, and cold_slack.
    double cold_factor = 1.0;
    double cold_slack = 0.0;
    // A bad version in a roll-out may get this part of its service's requests, and this
    // number on top.
    double exposure_share = 0.1;
    double exposure_slack = 50.0;
    // From a bad version's fiftieth bad answer until no VM in touch sends it requests;
    // nothing if the settings don't say it, which is so where no versions are rolled out.
    std::optional<base::duration> rollback_limit;
    // Without the core for this time, a VM is out of touch.
    base::duration contact_limit{5000};
};

// Reads the settings file whose path the platform leaves in the environment. Throws
// base::findings_error with every mistake, each with its place `file:line`.
node_settings read_node_settings();
// The same for a named file, and for `text`; `file` is the name that findings use.
node_settings read_node_settings(const std::string& file);
node_settings parse_node_settings(std::string_view text, const std::string& file);

// The path of the settings file; empty if the environment names none.
std::string settings_path();

} // namespace curranthoist::platform
