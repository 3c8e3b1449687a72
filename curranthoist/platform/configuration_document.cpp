#include "curranthoist/platform/configuration_document.hpp"

#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/base/parse_json.hpp"

#include <nlohmann/json.hpp>

#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace curranthoist::platform {

namespace {

using nlohmann::json;

constexpr double milliseconds_per_second = 1000.0;
// Keeps every count and duration of a document well inside its type.
constexpr double largest_number = 1e15;

// Typed access to one JSON object's fields; every mistake becomes a finding.
class field_reader
{
public:
    field_reader(const json& object, std::string place, base::findings& found)
        : object_(object)
        , place_(std::move(place))
        , found_(found)
    {}

    [[nodiscard]] const json* find(const char* name) const
    {
        const auto field = object_.find(name);
        return field == object_.end() || field->is_null() ? nullptr : &*field;
    }
    std::string text(const char* name)
    {
        const json* field = find(name);
        if (field == nullptr || !field->is_string()) {
            found_.add(at(name), "must be a text");
            return {};
        }
        return field->get<std::string>();
    }
    double number(const char* name, double otherwise)
    {
        const json* field = find(name);
        if (field == nullptr) {
            return otherwise;
        }
        const double value = field->is_number() ? field->get<double>() : -1.0;
        if (!std::isfinite(value) || value < 0 || value > largest_number) {
            found_.add(at(name), "must be a number of at least 0");
            return otherwise;
        }
        return value;
    }
    base::duration milliseconds(const char* name, base::duration otherwise)
    {
        return base::duration(static_cast<std::int64_t>(
            number(name, static_cast<double>(otherwise.count()))));
    }
    bool flag(const char* name)
    {
        const json* field = find(name);
        if (field == nullptr) {
            return false;
        }
        if (!field->is_boolean()) {
            found_.add(at(name), "must be true or false");
            return false;
        }
        return field->get<bool>();
    }
    // A small whole number.
    unsigned rank(const char* name, unsigned otherwise)
    {
        const double value = number(name, otherwise);
        if (value > std::numeric_limits<unsigned>::max()) {
            found_.add(at(name), "is too large");
            return otherwise;
        }
        return static_cast<unsigned>(value);
    }
    std::size_t count(const char* name, std::size_t otherwise)
    {
        return static_cast<std::size_t>(number(name, static_cast<double>(otherwise)));
    }
    // The elements of a list field; none, with a finding, if it is something else.
    const json& list(const char* name)
    {
        static const json none = json::array();
        const json* field = find(name);
        if (field == nullptr || !field->is_array()) {
            found_.add(at(name), "must be a list");
            return none;
        }
        return *field;
    }
    [[nodiscard]] std::string at(const std::string& name) const
    {
        return place_.empty() ? name : place_ + "." + name;
    }
    void add(const std::string& name, std::string text)
    {
        found_.add(at(name), std::move(text));
    }

private:
    const json& object_;
    std::string place_;
    base::findings& found_;
};

class document_decoder
{
public:
    explicit document_decoder(base::findings& found)
        : found_(found)
    {}

    deployment::configuration decode(const json& body)
    {
        field_reader fields(body, "", found_);
        const json* version = fields.find("version");
        if (version == nullptr || !version->is_number_unsigned()) {
            fields.add("version", "must be a whole number of at least 0");
        }
        else {
            result_.version = version->get<std::uint64_t>();
        }
        each(fields, "services", [this](field_reader& one) { add_service(one); });
        each(fields, "routes", [this](field_reader& one) { add_route(one); });
        // A null is refused and not taken for an absent list: writers that mean an empty
        // list send it, and an absent one would admit every request.
        if (body.contains("tenants")) {
            result_.teams.emplace();
            each(fields, "tenants", [this](field_reader& one) { add_team(one); });
        }
        if (const json* limits = fields.find("limits")) {
            if (limits->is_object()) {
                read_limits(field_reader(*limits, "limits", found_));
            }
            else {
                fields.add("limits", "must be an object");
            }
        }
        return std::move(result_);
    }

private:
    template <class Action>
    void each(field_reader& fields, const char* name, Action action)
    {
        std::size_t index = 0;
        for (const json& one : fields.list(name)) {
            const std::string place =
                std::string(name) + "[" + std::to_string(index++) + "]";
            if (one.is_object()) {
                field_reader entry(one, place, found_);
                action(entry);
            }
            else {
                found_.add(place, "must be an object");
            }
        }
    }
    void add_service(field_reader& fields)
    {
        deployment::service_limits limits;
        limits.health_path = "/health";
        if (fields.find("health_check_path") != nullptr) {
            limits.health_path = fields.text("health_check_path");
        }
        limits.max_connections = fields.count("max_connections", 1);
        limits.cold_time = base::duration(static_cast<std::int64_t>(
            fields.number("cold_start_s", 0) * milliseconds_per_second));
        limits.cold_requests_per_second = fields.number("cold_per_s", 0);
        result_.services[base::service_id(fields.text("name"))] = limits;
    }
    // `name` is null if the field is missing.
    base::service_id known_service(const json* name, const std::string& place)
    {
        base::service_id id(
            name != nullptr && name->is_string() ? name->get<std::string>() : "");
        if (!result_.services.contains(id)) {
            found_.add(place, "names the unknown service '" + id.str() + "'");
        }
        return id;
    }
    void add_route(field_reader& fields)
    {
        deployment::route one;
        one.name = fields.text("name");
        one.host = fields.text("host");
        one.path_prefix = fields.text("path_prefix");
        // Every kind but this one is handled as if it may run once only.
        one.repeat = fields.text("route_kind") == "safe"
                         ? deployment::repeat_rule::repeatable
                         : deployment::repeat_rule::at_most_once;
        one.time_limit = fields.milliseconds("timeout_ms", base::duration());
        if (one.time_limit <= base::duration()) {
            fields.add("timeout_ms", "must be above 0");
        }
        one.objective = fields.milliseconds("target_latency_ms", one.time_limit);
        one.priority = fields.rank("priority", 0);
        one.max_attempts = fields.rank("max_attempts", 1);
        one.top_records = fields.count("top_k", 0);
        one.min_share = fields.number("min_shard_share", 1.0);
        one.is_public = fields.flag("public");
        read_destinations(fields, one);
        if (one.path_prefix.empty() || one.path_prefix.front() != '/' ||
            one.path_prefix.back() != '/') {
            fields.add("path_prefix", "must begin and end with '/'");
        }
        if (!places_.emplace(one.host, one.path_prefix).second) {
            fields.add("path_prefix", "another route has this host and prefix");
        }
        result_.routes.push_back(std::move(one));
    }
    void read_destinations(field_reader& fields, deployment::route& one)
    {
        if (fields.find("shard_services") != nullptr) {
            for (const json& shard : fields.list("shard_services")) {
                one.shards.push_back(known_service(&shard, fields.at("shard_services")));
            }
            if (one.shards.empty()) {
                fields.add("shard_services", "must not be empty");
            }
            return;
        }
        if (fields.find("traffic_split") != nullptr) {
            read_split(fields, one);
            return;
        }
        const base::service_id id =
            known_service(fields.find("service"), fields.at("service"));
        one.services.push_back({id, 1.0});
    }
    void add_team(field_reader& fields)
    {
        deployment::team one;
        one.name = fields.text("name");
        if (one.name.empty() || !teams_.insert(one.name).second) {
            fields.add("name", "is empty or that of another team");
        }
        one.priority = fields.rank("priority", 0);
        one.rate = fields.number("rate_per_s", 0);
        one.burst = fields.number("burst", 0);
        if (fields.find("api_keys") != nullptr) {
            for (const json& key : fields.list("api_keys")) {
                add_key(fields, one, key);
            }
        }
        result_.teams->push_back(std::move(one));
    }
    // Findings don't repeat the key, since they are logged.
    void add_key(field_reader& fields, deployment::team& holder, const json& key)
    {
        if (!key.is_string() || key.get_ref<const std::string&>().empty()) {
            fields.add("api_keys", "must hold texts that are not empty");
            return;
        }
        const auto [known, added] =
            key_holders_.emplace(key.get<std::string>(), holder.name);
        if (added) {
            holder.keys.push_back(known->first);
        }
        else if (known->second != holder.name) {
            fields.add("api_keys", "another team holds one of these keys");
        }
    }
    void read_split(field_reader& fields, deployment::route& one)
    {
        double sum = 0;
        for (const json& part : fields.list("traffic_split")) {
            if (!part.is_object()) {
                fields.add("traffic_split", "must hold objects");
                continue;
            }
            field_reader entry(part, fields.at("traffic_split"), found_);
            const base::service_id id =
                known_service(entry.find("service"), entry.at("service"));
            const double weight = entry.number("weight", 0);
            sum += weight;
            one.services.push_back({id, weight});
        }
        if (sum <= 0) {
            fields.add("traffic_split", "the weights add up to 0");
        }
    }
    void read_limits(field_reader fields)
    {
        deployment::caller_limits& limits = result_.limits;
        limits.max_header_bytes =
            fields.count("max_header_bytes", limits.max_header_bytes);
        limits.max_body_bytes = fields.count("max_body_bytes", limits.max_body_bytes);
        limits.header_timeout =
            fields.milliseconds("header_timeout_ms", limits.header_timeout);
        limits.idle_timeout = fields.milliseconds("idle_timeout_ms", limits.idle_timeout);
    }

    base::findings& found_;
    deployment::configuration result_;
    std::set<std::string> teams_;
    std::map<std::string, std::string> key_holders_;
    std::set<std::pair<std::string, std::string>> places_;
};

} // namespace

std::vector<deployment::team> decode_teams(std::string_view document)
{
    // Most deployments have none, and their documents are long. JSON may spell a name
    // with escaped letters.
    if (document.find("\"tenants\"") == std::string_view::npos &&
        document.find("\\u") == std::string_view::npos) {
        return {};
    }
    return decode_configuration(document).teams.value_or(std::vector<deployment::team>());
}

deployment::configuration decode_configuration(std::string_view document)
{
    base::findings found;
    const json body = base::parse_json(document);
    if (!body.is_object()) {
        found.add("body", "is not a whole JSON object, or is nested too deeply");
        throw base::findings_error(found);
    }
    deployment::configuration result = document_decoder(found).decode(body);
    found.throw_if_any();
    return result;
}

} // namespace curranthoist::platform
