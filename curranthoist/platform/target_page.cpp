#include "curranthoist/platform/target_page.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>

namespace curranthoist::platform {

namespace {

using nlohmann::json;

// Longer ones are cut, so that a foreign writer can't flood the log.
constexpr std::size_t max_quoted_entry = 200;
constexpr double longest_cold_ms = 1e9;

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
    if (into.id.empty() || into.service.empty() || into.zone.empty() || !address) {
        return "id, service, zone or address is missing or malformed";
    }
    into.address = *address;
    if (state != "ready" && state != "draining") {
        return "unknown state '" + state + "'";
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
    return std::nullopt;
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
    const json page = json::parse(body, nullptr, false);
    if (!page.is_object()) {
        return std::nullopt;
    }
    const auto entries = page.find("instances");
    if (entries == page.end() || !entries->is_array()) {
        return std::nullopt;
    }
    target_page result;
    for (const json& entry : *entries) {
        deployment::listed_target target;
        if (const auto reason = read_entry(entry, target)) {
            const std::string quoted =
                entry.dump(-1, ' ', true, json::error_handler_t::replace);
            result.rejected.push_back(*reason + ": " +
                                      quoted.substr(0, max_quoted_entry));
        }
        else {
            result.targets.push_back(std::move(target));
        }
    }
    result.next = text_field(page, "next_page_token");
    return result;
}

} // namespace curranthoist::platform
