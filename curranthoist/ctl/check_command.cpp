#include "curranthoist/ctl/check_command.hpp"

#include "curranthoist/ctl/document_check.hpp"
#include "curranthoist/ctl/document_source.hpp"
#include "curranthoist/ctl/report_views.hpp"
#include "curranthoist/ctl/unreadable_document.hpp"

#include <nlohmann/json.hpp>

#include <iostream>

namespace curranthoist::ctl {

namespace {

void print(const configuration_report& report, bool as_json)
{
    if (as_json) {
        // A file's name need not be UTF-8.
        constexpr auto replace = nlohmann::json::error_handler_t::replace;
        std::cout << report_json(report).dump(-1, ' ', false, replace) << "\n";
    }
    else {
        print_report_text(std::cout, report);
    }
}

} // namespace

exit_code check(const options& chosen)
{
    configuration_report report;
    exit_code result = exit_code::done;
    try {
        report = check_document(chosen.subject, read_document(chosen.subject));
        if (!report.errors.empty()) {
            result = exit_code::invalid_document;
        }
        else if (!chosen.against.empty()) {
            compare_documents(report, chosen.against, read_document(chosen.against));
        }
        else if (!chosen.controls.empty()) {
            compare_documents(report, "in force", fetch_document(chosen.controls));
        }
    }
    catch (const unreadable_document& error) {
        std::cerr << "error: " << error.what() << "\n";
        result = exit_code::unreadable_document;
    }
    // What was found in the document itself stands also if the other can't be read.
    if (report.decoded || !report.errors.empty()) {
        print(report, chosen.json);
    }
    return result;
}

} // namespace curranthoist::ctl
