#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/settings/entry_limits.hpp"
#include "curranthoist/settings/policy_settings.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace curranthoist::settings {

// What one entry process needs to know before it can reach the control processes; all
// else is in the configuration.
struct entry_settings
{
    base::vm_id vm;
    base::zone_id zone;
    // Where callers connect to, over HTTP.
    base::endpoint callers;
    // Where other entry VMs connect to.
    base::endpoint peers;
    // The session addresses of the control processes, tried in turn.
    std::vector<base::endpoint> control;
    std::string log_level = "info";
    // How long a stopping process serves after /ready turned 503: what the load balancer
    // needs to stop sending to it.
    base::duration balancer_delay{5000};
    // A stop that has not finished after this time ends with an error.
    base::duration stop_limit{15000};
    entry_limits limits;
    policy_settings policies;
};

// Reads the settings of an entry process:
//
//     const settings::entry_settings mine = settings::read_entry_settings("entry.toml");
//
// Throws base::findings_error with every mistake in the file, each with its place
// `file:line:column`; also if the file can't be read.
entry_settings read_entry_settings(const std::string& file);

// The same for `text`; `file` is the name that findings use.
entry_settings parse_entry_settings(std::string_view text, const std::string& file);

} // namespace curranthoist::settings
