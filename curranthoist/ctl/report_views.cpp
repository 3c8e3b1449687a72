#include "curranthoist/ctl/report_views.hpp"

#include "curranthoist/ctl/configuration_report.hpp"
#include "curranthoist/platform/configuration_review.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <ostream>
#include <string>
#include <string_view>

namespace curranthoist::ctl {

namespace {

using deployment::configuration_part;
using deployment::entry_change;
using nlohmann::json;

// Without the bytes of control characters, which include U+0080 to U+009F in UTF-8.
std::string printable(std::string_view text)
{
    constexpr unsigned char del = 0x7f;
    constexpr unsigned char c1_lead = 0xc2;
    constexpr unsigned char c1_end = 0xa0;
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const auto byte = static_cast<unsigned char>(text[i]);
        const bool is_c1 = byte == c1_lead && i + 1 < text.size() &&
                           static_cast<unsigned char>(text[i + 1]) < c1_end;
        if (is_c1) {
            ++i;
        }
        result += is_c1 || byte < ' ' || byte == del ? '?' : text[i];
    }
    return result;
}

std::string part_name(configuration_part part)
{
    switch (part) {
    case configuration_part::route:
        return "route";
    case configuration_part::service:
        return "service";
    case configuration_part::team:
        return "team";
    case configuration_part::limits:
        return "limits";
    case configuration_part::whole:
        break;
    }
    return "configuration";
}

std::string kind_name(entry_change::change_kind kind)
{
    switch (kind) {
    case entry_change::change_kind::added:
        return "added";
    case entry_change::change_kind::removed:
        return "removed";
    case entry_change::change_kind::changed:
        break;
    }
    return "changed";
}

std::string counted(std::size_t count, const std::string& noun)
{
    return std::to_string(count) + " " + noun + (count == 1 ? "" : "s");
}

void print_findings(std::ostream& out, const char* kind, const base::findings& found)
{
    for (const base::finding& one : found.list()) {
        out << kind << ": " << printable(one.place) << ": " << printable(one.text)
            << "\n";
    }
}

void print_change(std::ostream& out, const entry_change& change)
{
    out << kind_name(change.kind) << " " << part_name(change.part);
    if (change.part != configuration_part::limits &&
        change.part != configuration_part::whole) {
        out << " '" << printable(change.name) << "'";
    }
    out << "\n";
    for (const deployment::field_change& one : change.fields) {
        out << "    " << platform::document_name(one.field) << ": "
            << printable(one.before) << " -> " << printable(one.after) << "\n";
    }
    if (change.keys_added + change.keys_withdrawn > 0) {
        out << "    keys: " << change.keys_added << " added, " << change.keys_withdrawn
            << " withdrawn\n";
    }
}

json findings_json(const base::findings& found)
{
    json result = json::array();
    for (const base::finding& one : found.list()) {
        result.push_back({{"place", one.place}, {"text", one.text}});
    }
    return result;
}

json change_json(const entry_change& change)
{
    json fields = json::array();
    for (const deployment::field_change& one : change.fields) {
        fields.push_back({{"field", platform::document_name(one.field)},
                          {"before", one.before},
                          {"after", one.after}});
    }
    return {{"part", part_name(change.part)},  {"name", change.name},
            {"kind", kind_name(change.kind)},  {"fields", fields},
            {"keys_added", change.keys_added}, {"keys_withdrawn", change.keys_withdrawn}};
}

} // namespace

void print_report_text(std::ostream& out, const configuration_report& report)
{
    print_findings(out, "error", report.errors);
    print_findings(out, "warning", report.warnings);
    if (report.compared) {
        out << "version " << report.compared->version << " ("
            << printable(report.compared->source) << ") -> " << report.decoded->version
            << "\n";
        for (const entry_change& one : report.compared->changes) {
            print_change(out, one);
        }
    }
    out << printable(report.file) << ": " << counted(report.errors.list().size(), "error")
        << ", " << counted(report.warnings.list().size(), "warning");
    if (report.compared) {
        out << ", " << counted(report.compared->changes.size(), "change");
    }
    out << "\n";
}

json report_json(const configuration_report& report)
{
    json result = {{"file", report.file},
                   {"errors", findings_json(report.errors)},
                   {"warnings", findings_json(report.warnings)}};
    if (report.compared) {
        json changes = json::array();
        for (const entry_change& one : report.compared->changes) {
            changes.push_back(change_json(one));
        }
        result["against"] = {{"source", report.compared->source},
                             {"version", report.compared->version},
                             {"changes", changes}};
    }
    return result;
}

} // namespace curranthoist::ctl
