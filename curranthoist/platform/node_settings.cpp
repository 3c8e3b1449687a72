#include "curranthoist/platform/node_settings.hpp"

#include "curranthoist/base/findings_error.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <limits>
#include <map>
#include <sstream>

namespace curranthoist::platform {

namespace {

constexpr double bytes_per_megabit = 125'000.0;
constexpr double milliseconds_per_second = 1000.0;
constexpr double bytes_per_megabyte = 1024.0 * 1024.0;
constexpr double max_memory_bytes = 1e15;

struct located_value
{
    std::string text;
    std::string place;
};

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blank = " \t\r";
    const std::size_t begin = text.find_first_not_of(blank);
    if (begin == std::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(blank) - begin + 1);
}

// The file's values by key, and typed access that collects every mistake.
class value_reader
{
public:
    value_reader(std::string_view text, const std::string& file)
        : file_(file)
    {
        std::size_t number = 0;
        while (!text.empty()) {
            const std::size_t end = std::min(text.find('\n'), text.size());
            add_line(trimmed(text.substr(0, end)), ++number);
            text.remove_prefix(std::min(end + 1, text.size()));
        }
    }

    // The value, or nothing if the key is absent or empty.
    [[nodiscard]] const located_value* find(const std::string& key) const
    {
        const auto found = values_.find(key);
        return found == values_.end() || found->second.text.empty() ? nullptr
                                                                    : &found->second;
    }
    std::string text(const std::string& key, bool required)
    {
        const located_value* value = find(key);
        if (value == nullptr && required) {
            found_.add(file_, "'" + key + "' is missing");
        }
        return value == nullptr ? std::string() : value->text;
    }
    std::optional<base::endpoint> endpoint(const std::string& key)
    {
        const located_value* value = find(key);
        return value == nullptr ? std::nullopt : parse_endpoint(*value, value->text, key);
    }
    std::vector<base::endpoint> endpoints(const std::string& key)
    {
        std::vector<base::endpoint> result;
        if (const located_value* value = find(key)) {
            std::istringstream list(value->text);
            for (std::string one; std::getline(list, one, ',');) {
                if (const auto parsed = parse_endpoint(*value, one, key)) {
                    result.push_back(*parsed);
                }
            }
        }
        return result;
    }
    bool flag(const std::string& key)
    {
        const located_value* value = find(key);
        if (value == nullptr || value->text == "false") {
            return false;
        }
        if (value->text != "true") {
            found_.add(value->place, "'" + key + "' is neither true nor false");
        }
        return value->text == "true";
    }
    // A number of at least 0.
    double number(const std::string& key, double otherwise)
    {
        const located_value* value = find(key);
        if (value == nullptr) {
            return otherwise;
        }
        double result = 0;
        const char* const end = value->text.data() + value->text.size();
        const auto parsed = std::from_chars(value->text.data(), end, result);
        if (parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(result) ||
            result < 0) {
            found_.add(value->place, "'" + key + "' is not a number of at least 0");
            return otherwise;
        }
        return result;
    }
    base::duration milliseconds(const std::string& key, base::duration otherwise)
    {
        return base::duration(static_cast<std::int64_t>(
            number(key, static_cast<double>(otherwise.count()))));
    }
    base::duration seconds(const std::string& key, base::duration otherwise)
    {
        return base::duration(static_cast<std::int64_t>(number(key, otherwise.seconds()) *
                                                        milliseconds_per_second));
    }
    std::size_t megabytes(const std::string& key, std::size_t otherwise)
    {
        const double bytes =
            number(key, static_cast<double>(otherwise) / bytes_per_megabyte) *
            bytes_per_megabyte;
        return static_cast<std::size_t>(std::min(bytes, max_memory_bytes));
    }
    std::uint16_t first_port(const std::string& key)
    {
        const located_value* value = find(key);
        if (value == nullptr) {
            found_.add(file_, "'" + key + "' is missing");
            return 0;
        }
        unsigned port = 0;
        const auto parsed = std::from_chars(
            value->text.data(), value->text.data() + value->text.size(), port);
        if (parsed.ec != std::errc() || port == 0 ||
            port > std::numeric_limits<std::uint16_t>::max()) {
            found_.add(value->place, "'" + key + "' does not begin with a port");
            return 0;
        }
        return static_cast<std::uint16_t>(port);
    }
    void throw_if_any() const { found_.throw_if_any(); }

private:
    void add_line(std::string_view line, std::size_t number)
    {
        if (line.empty() || line.front() == '#') {
            return;
        }
        const std::string place = file_ + ":" + std::to_string(number);
        const std::size_t equals = line.find('=');
        if (equals == std::string_view::npos) {
            found_.add(place, "the line is not of the form key=value");
            return;
        }
        values_[std::string(trimmed(line.substr(0, equals)))] = {
            std::string(trimmed(line.substr(equals + 1))), place};
    }
    std::optional<base::endpoint> parse_endpoint(const located_value& value,
                                                 std::string_view text,
                                                 const std::string& key)
    {
        auto parsed = base::endpoint::parse(trimmed(text));
        if (!parsed) {
            found_.add(value.place, "'" + key + "' holds '" + std::string(text) +
                                        "', which is not an IPv4 address and port");
        }
        return parsed;
    }

    std::string file_;
    base::findings found_;
    std::map<std::string, located_value> values_;
};

} // namespace

std::string settings_path()
{
    const char* const path = std::getenv("CURRANTHOIST_BOOT");
    return path == nullptr ? std::string() : std::string(path);
}

node_settings read_node_settings()
{
    const std::string path = settings_path();
    if (path.empty()) {
        base::findings found;
        found.add("environment", "CURRANTHOIST_BOOT does not name a settings file");
        throw base::findings_error(found);
    }
    return read_node_settings(path);
}

node_settings read_node_settings(const std::string& file)
{
    const std::ifstream input(file);
    if (!input) {
        base::findings found;
        found.add(file, "can't be read");
        throw base::findings_error(found);
    }
    std::ostringstream text;
    text << input.rdbuf();
    return parse_node_settings(text.str(), file);
}

node_settings parse_node_settings(std::string_view text, const std::string& file)
{
    value_reader values(text, file);
    node_settings result;
    result.name = values.text("node_name", true);
    result.zone = base::zone_id(values.text("zone", true));
    result.address = values.text("ip_address", true);
    result.callers = values.endpoint("listen_addresses.front");
    result.readiness = values.endpoint("listen_addresses.ready");
    result.operators = values.endpoint("listen_addresses.control");
    result.first_internal_port = values.first_port("internal_port_range");
    result.seeds = values.endpoints("seed_nodes");
    result.founds_deployment = values.flag("first_start");
    result.data_folder = values.text("data_directory", false);
    result.memory_bytes = values.megabytes("limits.memory_mb", result.memory_bytes);
    result.max_descriptors = static_cast<std::size_t>(
        std::min(values.number("limits.max_file_descriptors",
                               static_cast<double>(result.max_descriptors)),
                 max_memory_bytes));
    result.link_bytes_per_s =
        values.number("limits.link_mbps", result.link_bytes_per_s / bytes_per_megabit) *
        bytes_per_megabit;
    result.list_address = values.endpoint("cloud_api.address");
    result.list_lag = values.milliseconds("cloud_api.max_lag_ms", result.list_lag);
    result.list_calls_per_s =
        values.number("cloud_api.rate_per_s", result.list_calls_per_s);
    result.configuration_limit =
        values.milliseconds("bounds.config_apply_ms", result.configuration_limit);
    if (values.flag("bounds.strict_revocation")) {
        constexpr base::duration default_revocation{5000};
        result.revocation_limit =
            values.milliseconds("bounds.revocation_ms", default_revocation);
    }
    result.team_limit_slack =
        values.number("bounds.quota_slack", result.team_limit_slack);
    result.stop_limit = values.seconds("bounds.grace_period_s", result.stop_limit);
    result.extra_ratio = values.number("bounds.retry_budget_ratio", result.extra_ratio);
    result.extra_slack = values.number("bounds.retry_budget_slack", result.extra_slack);
    result.extra_window = values.seconds("bounds.retry_window_s", result.extra_window);
    result.cold_factor = values.number("bounds.cold_burst_factor", result.cold_factor);
    result.cold_slack = values.number("bounds.cold_slack", result.cold_slack);
    result.exposure_share = values.number("bounds.exposure_share", result.exposure_share);
    result.exposure_slack = values.number("bounds.exposure_slack", result.exposure_slack);
    if (values.find("bounds.rollback_ms") != nullptr) {
        result.rollback_limit = values.milliseconds("bounds.rollback_ms", {});
    }
    result.contact_limit = values.milliseconds("bounds.contact_ms", result.contact_limit);
    values.throw_if_any();
    return result;
}

} // namespace curranthoist::platform
