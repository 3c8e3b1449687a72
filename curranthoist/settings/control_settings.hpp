#pragma once

#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/settings/member_settings.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace curranthoist::settings {

// What one control process needs to know before it opens its log.
struct control_settings
{
    base::member_id name;
    std::string data_folder;
    // Where other control processes and entry VMs connect to.
    base::endpoint peers;
    // Where operators connect to, over HTTP.
    base::endpoint operators;
    // The members of a new deployment; an existing log knows its members.
    std::vector<member_settings> members;
    std::string log_level = "info";
    // What the process may use; the memory of connections, bodies and frames follows it.
    std::uint64_t memory_mb = 256;
    // Log entries between two log snapshots.
    std::uint64_t snapshot_interval_entries = 4096;
};

// Reads the settings of a control process. Throws base::findings_error with every mistake
// in the file, each with its place `file:line:column`; also if the file can't be read.
control_settings read_control_settings(const std::string& file);

// The same for `text`; `file` is the name that findings use.
control_settings parse_control_settings(std::string_view text, const std::string& file);

} // namespace curranthoist::settings
