#pragma once

#include "curranthoist/base/findings.hpp"
#include "curranthoist/deployment/configuration.hpp"
#include "curranthoist/deployment/entry_change.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace curranthoist::ctl {

// What `check` found in a configuration document.
struct configuration_report
{
    // What differs from another document.
    struct comparison
    {
        std::string source;
        std::uint64_t version = 0;
        std::vector<deployment::entry_change> changes;
    };

    std::string file;
    // The core would refuse the document for these.
    base::findings errors;
    base::findings warnings;
    // Set unless there are errors.
    std::optional<deployment::configuration> decoded;
    std::optional<comparison> compared;
};

} // namespace curranthoist::ctl
