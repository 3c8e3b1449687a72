#pragma once

#include "curranthoist/ctl/configuration_report.hpp"

#include <string>
#include <string_view>

namespace curranthoist::ctl {

// Finds the errors for which the core refuses a document, and warnings.
configuration_report check_document(const std::string& file, std::string_view document);

// Adds what differs from the document in force, and a warning if the checked version
// would not replace it. Needs a report without errors. Throws unreadable_document if
// `in_force` is no valid configuration.
void compare_documents(configuration_report& report, const std::string& source,
                       std::string_view in_force);

} // namespace curranthoist::ctl
