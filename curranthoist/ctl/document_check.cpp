#include "curranthoist/ctl/document_check.hpp"

#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/cored/operator_server_options.hpp"
#include "curranthoist/ctl/unreadable_document.hpp"
#include "curranthoist/deployment/configuration_check.hpp"
#include "curranthoist/deployment/configuration_diff.hpp"
#include "curranthoist/platform/configuration_document.hpp"
#include "curranthoist/platform/configuration_review.hpp"

#include <utility>

namespace curranthoist::ctl {

configuration_report check_document(const std::string& file, std::string_view document)
{
    configuration_report result;
    result.file = file;
    if (document.size() > cored::max_operator_body_bytes) {
        result.errors.add("body", "is longer than the " +
                                      std::to_string(cored::max_operator_body_bytes) +
                                      " bytes that the core takes");
        return result;
    }
    try {
        deployment::configuration decoded = platform::decode_configuration(document);
        deployment::limits_beyond_any_vm(decoded).throw_if_any();
        result.decoded = std::move(decoded);
    }
    catch (const base::findings_error& error) {
        result.errors = error.found();
        return result;
    }
    result.warnings = platform::review_configuration(document, *result.decoded);
    return result;
}

void compare_documents(configuration_report& report, const std::string& source,
                       std::string_view in_force)
{
    deployment::configuration other;
    try {
        other = platform::decode_configuration(in_force);
    }
    catch (const base::findings_error& error) {
        throw unreadable_document(source + " is no valid configuration\n" + error.what());
    }
    report.compared = {source, other.version,
                       deployment::compare_configurations(other, *report.decoded)};
    const std::uint64_t version = report.decoded->version;
    const bool is_same = version == other.version && report.compared->changes.empty();
    if (version <= other.version && !is_same) {
        report.warnings.add("version", "is not above the version in force, " +
                                           std::to_string(other.version) +
                                           ", so it would be acknowledged and change "
                                           "nothing");
    }
}

} // namespace curranthoist::ctl
