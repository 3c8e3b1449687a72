#pragma once

#include <nlohmann/json_fwd.hpp>

#include <iosfwd>

namespace curranthoist::ctl {

struct configuration_report;

// Prints a report as text, one line for each finding and changed entry. Control
// characters of the documents are replaced, since the text may go to a terminal.
void print_report_text(std::ostream& out, const configuration_report& report);

// The report with the fields `file`, `errors`, `warnings` and, if documents were
// compared, `against`.
nlohmann::json report_json(const configuration_report& report);

} // namespace curranthoist::ctl
