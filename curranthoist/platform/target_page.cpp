#include "curranthoist/platform/target_page.hpp"

#include "curranthoist/base/parse_json.hpp"
#include "curranthoist/platform/internal/json_scanner.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <utility>

namespace curranthoist::platform {

namespace {

using internal::json_scanner;
using nlohmann::json;

// Bounds of what is quoted of the rejected entries, so that another writer can't flood
// the log.
constexpr std::size_t max_quoted_bytes = 200;
constexpr std::size_t max_quoted_entries = 20;
// An entry of the platform is a flat object of a few hundred bytes.
constexpr std::size_t max_entry_depth = 8;
constexpr std::size_t max_entry_bytes = std::size_t{16} * 1024;
// Each entry whose end can't be found may cost a scan of the rest of the page.
constexpr std::size_t max_unbounded_entries = 16;
constexpr std::size_t max_name_bytes = 256;
constexpr double longest_cold_ms = 1e9;

// Identifiers go into header lines and log lines, so only visible ASCII may pass.
bool is_plain_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_bytes &&
           std::all_of(text.begin(), text.end(),
                       [](char letter) { return letter > ' ' && letter < '\x7F'; });
}

// True for an address of one host: neither 0.x.x.x nor multicast nor broadcast.
bool is_host_address(const base::endpoint& address)
{
    constexpr int first_multicast = 224;
    const int first_byte = std::atoi(address.address.c_str());
    return first_byte > 0 && first_byte < first_multicast;
}

std::string text_field(const json& entry, const char* name)
{
    const auto field = entry.find(name);
    return field != entry.end() && field->is_string() ? field->get<std::string>()
                                                      : std::string();
}

// Reads an entry; returns why it can't be used, or nothing.
std::optional<std::string> read_entry(const json& entry, deployment::listed_target& into)
{
    if (!entry.is_object()) {
        return "is not an object";
    }
    into.id = base::target_id(text_field(entry, "id"));
    into.service = base::service_id(text_field(entry, "service"));
    into.zone = base::zone_id(text_field(entry, "zone"));
    const auto address = base::endpoint::parse(text_field(entry, "address"));
    const std::string state = text_field(entry, "state");
    if (!is_plain_name(into.id.str()) || !is_plain_name(into.service.str()) ||
        !is_plain_name(into.zone.str()) || !address || !is_host_address(*address)) {
        return "id, service, zone or address is missing or malformed";
    }
    into.address = *address;
    if (state != "ready" && state != "draining") {
        return "unknown state";
    }
    into.draining = state == "draining";
    const auto cold = entry.find("cold_remaining_ms");
    if (cold != entry.end() && !cold->is_null()) {
        const double value = cold->is_number() ? cold->get<double>() : -1.0;
        if (!(value >= 0 && value <= longest_cold_ms)) {
            return "cold_remaining_ms is not a number of at least 0";
        }
        into.remaining_cold_time = base::duration(static_cast<std::int64_t>(value));
    }
    // Targets without a version are used all the same: only roll-outs need it.
    into.version = text_field(entry, "version");
    if (!into.version.empty() && !is_plain_name(into.version)) {
        return "version is malformed";
    }
    return std::nullopt;
}

// The beginning of an entry's bytes as printable text.
std::string quoted(std::string_view entry)
{
    std::string result;
    for (const char letter : entry.substr(0, max_quoted_bytes)) {
        const bool printable = letter >= ' ' && letter < '\x7F' && letter != '"';
        result += printable ? letter : letter == '"' ? '\'' : '?';
    }
    return result;
}

void reject(std::string_view entry, std::string_view reason, target_page& page)
{
    ++page.rejected_count;
    if (page.rejected.size() < max_quoted_entries) {
        page.rejected.push_back(std::string(reason) + ": " + quoted(entry));
    }
}

void read_entry_text(const json_scanner::value& entry, target_page& page)
{
    if (entry.depth > max_entry_depth || entry.text.size() > max_entry_bytes) {
        reject(entry.text, "is nested too deeply or too long", page);
        return;
    }
    const json decoded = base::parse_json(entry.text);
    if (decoded.is_discarded()) {
        reject(entry.text, "can't be read", page);
        return;
    }
    deployment::listed_target target;
    if (const auto reason = read_entry(decoded, target)) {
        reject(entry.text, *reason, page);
        return;
    }
    page.targets.push_back(std::move(target));
}

// Reads the list of entries. Returns false if it has no end.
bool read_entries(json_scanner& scan, target_page& page)
{
    if (!scan.take('[')) {
        return false;
    }
    if (scan.take(']')) {
        return true;
    }
    std::size_t unbounded_entries = 0;
    while (true) {
        if (const auto entry = scan.take_value()) {
            read_entry_text(*entry, page);
            if (scan.take(',')) {
                continue;
            }
            if (scan.take(']')) {
                return true;
            }
        }
        const auto skipped = scan.skip_to_next_object();
        if (!skipped || ++unbounded_entries > max_unbounded_entries) {
            return false;
        }
        reject(*skipped, "has no end", page);
    }
}

// Reads the token of the next page. Returns false if it is neither a text nor null: a
// list that ends too early would take targets away.
bool read_token(std::string_view text, target_page& page)
{
    const json token = base::parse_json(text);
    if (token.is_string()) {
        page.next = token.get<std::string>();
    }
    return token.is_string() || token.is_null();
}

std::string escaped(std::string_view token)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr unsigned low_bits = 4;
    constexpr unsigned low_mask = 0xF;
    std::string result;
    for (const char letter : token) {
        const auto byte = static_cast<unsigned char>(letter);
        const bool plain = (letter >= '0' && letter <= '9') ||
                           (letter >= 'a' && letter <= 'z') ||
                           (letter >= 'A' && letter <= 'Z') || letter == '-' ||
                           letter == '_' || letter == '.' || letter == '~';
        if (plain) {
            result += letter;
        }
        else {
            result += '%';
            result += digits[byte >> low_bits];
            result += digits[byte & low_mask];
        }
    }
    return result;
}

} // namespace

std::string target_page_path(std::string_view token)
{
    return token.empty() ? "/instances" : "/instances?page_token=" + escaped(token);
}

std::optional<target_page> decode_target_page(std::string_view body)
{
    json_scanner scan(body);
    target_page result;
    bool has_entries = false;
    if (!scan.take('{') || scan.take('}')) {
        return std::nullopt;
    }
    do {
        const auto name = scan.take_value();
        if (!name || !scan.take(':')) {
            return std::nullopt;
        }
        if (name->text == R"("instances")") {
            has_entries = true;
            if (!read_entries(scan, result)) {
                return std::nullopt;
            }
            continue;
        }
        const auto field = scan.take_value();
        if (!field) {
            return std::nullopt;
        }
        if (name->text == R"("next_page_token")" && !read_token(field->text, result)) {
            return std::nullopt;
        }
    } while (scan.take(','));
    if (!has_entries || !scan.take('}') || !scan.at_end()) {
        return std::nullopt;
    }
    return result;
}

} // namespace curranthoist::platform
