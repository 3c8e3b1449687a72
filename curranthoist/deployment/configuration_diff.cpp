#include "curranthoist/deployment/configuration_diff.hpp"

#include "curranthoist/deployment/configuration.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>

namespace curranthoist::deployment {

namespace {

using field = configuration_field;
using change_kind = entry_change::change_kind;

// Different numbers give different texts.
std::string text_of(double value)
{
    constexpr std::size_t longest_number = 32;
    std::array<char, longest_number> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value).ptr;
    return {text.data(), end};
}

std::string text_of(base::duration value)
{
    return std::to_string(value.count()) + " ms";
}

std::string text_of(repeat_rule value)
{
    return value == repeat_rule::repeatable ? "repeatable" : "at most once";
}

std::string text_of(const std::vector<weighted_service>& services)
{
    if (services.empty()) {
        return "none";
    }
    std::string result;
    for (const weighted_service& one : services) {
        result += (result.empty() ? "" : ", ") + one.service.str();
        result += services.size() > 1 ? " " + text_of(one.weight) : "";
    }
    return result;
}

// The number of shards and the ones that `other` lacks: an index has too many shards to
// list them all.
std::string describe_shards(const std::vector<base::service_id>& own,
                            const std::vector<base::service_id>& other)
{
    const std::set<base::service_id> known(other.begin(), other.end());
    std::string only_here;
    for (const base::service_id& one : own) {
        if (!known.contains(one)) {
            only_here += (only_here.empty() ? "" : ", ") + one.str();
        }
    }
    return std::to_string(own.size()) + " shards" +
           (only_here.empty() ? "" : " (only here: " + only_here + ")");
}

// Collects the fields of one entry that differ.
class field_comparison
{
public:
    explicit field_comparison(entry_change& target)
        : target_(target)
    {}

    void add(field name, const std::string& before, const std::string& after)
    {
        if (before != after) {
            target_.fields.push_back({name, before, after});
        }
    }
    void add(field name, base::duration before, base::duration after)
    {
        add(name, text_of(before), text_of(after));
    }
    void add(field name, double before, double after)
    {
        add(name, text_of(before), text_of(after));
    }
    void add(field name, std::size_t before, std::size_t after)
    {
        add(name, std::to_string(before), std::to_string(after));
    }
    void add_shards(const std::vector<base::service_id>& before,
                    const std::vector<base::service_id>& after)
    {
        std::string was = describe_shards(before, after);
        std::string is = describe_shards(after, before);
        if (before != after && was == is) {
            is += " in another order";
        }
        add(field::shards, was, is);
    }

private:
    entry_change& target_;
};

void compare(const route& before, const route& after, entry_change& result)
{
    field_comparison fields(result);
    fields.add(field::host, before.host, after.host);
    fields.add(field::path_prefix, before.path_prefix, after.path_prefix);
    fields.add(field::repeat, text_of(before.repeat), text_of(after.repeat));
    fields.add(field::time_limit, before.time_limit, after.time_limit);
    fields.add(field::objective, before.objective, after.objective);
    fields.add(field::priority, std::size_t{before.priority},
               std::size_t{after.priority});
    fields.add(field::max_attempts, std::size_t{before.max_attempts},
               std::size_t{after.max_attempts});
    fields.add(field::services, text_of(before.services), text_of(after.services));
    fields.add_shards(before.shards, after.shards);
    fields.add(field::top_records, before.top_records, after.top_records);
    fields.add(field::min_share, before.min_share, after.min_share);
    fields.add(field::is_public, before.is_public ? "true" : "false",
               after.is_public ? "true" : "false");
}

void compare(const service_limits& before, const service_limits& after,
             entry_change& result)
{
    field_comparison fields(result);
    fields.add(field::health_path, before.health_path, after.health_path);
    fields.add(field::max_connections, before.max_connections, after.max_connections);
    fields.add(field::cold_time, before.cold_time, after.cold_time);
    fields.add(field::cold_requests_per_second, before.cold_requests_per_second,
               after.cold_requests_per_second);
}

// The number of keys of `own` that `other` lacks.
std::size_t count_missing(const team& own, const team& other)
{
    const std::set<std::string> known(other.keys.begin(), other.keys.end());
    return static_cast<std::size_t>(
        std::count_if(own.keys.begin(), own.keys.end(),
                      [&known](const std::string& key) { return !known.contains(key); }));
}

void compare(const team& before, const team& after, entry_change& result)
{
    field_comparison fields(result);
    fields.add(field::priority, std::size_t{before.priority},
               std::size_t{after.priority});
    fields.add(field::rate, before.rate, after.rate);
    fields.add(field::burst, before.burst, after.burst);
    result.keys_added = count_missing(after, before);
    result.keys_withdrawn = count_missing(before, after);
}

void compare(const caller_limits& before, const caller_limits& after,
             entry_change& result)
{
    field_comparison fields(result);
    fields.add(field::max_header_bytes, before.max_header_bytes, after.max_header_bytes);
    fields.add(field::max_body_bytes, before.max_body_bytes, after.max_body_bytes);
    fields.add(field::header_timeout, before.header_timeout, after.header_timeout);
    fields.add(field::idle_timeout, before.idle_timeout, after.idle_timeout);
}

// An entry's name, and its number among the entries of that name.
using entry_key = std::pair<std::string, std::size_t>;

template <class Entry>
std::map<entry_key, const Entry*> by_name(std::span<const Entry> entries)
{
    std::map<std::string, std::size_t> seen;
    std::map<entry_key, const Entry*> result;
    for (const Entry& one : entries) {
        result.emplace(entry_key(one.name, seen[one.name]++), &one);
    }
    return result;
}

std::map<entry_key, const service_limits*>
by_name(const std::map<base::service_id, service_limits>& services)
{
    std::map<entry_key, const service_limits*> result;
    for (const auto& [id, limits] : services) {
        result.emplace(entry_key(id.str(), 0), &limits);
    }
    return result;
}

// The keys that an added or removed entry brings or takes along.
template <class Entry>
std::size_t count_keys(const Entry&)
{
    return 0;
}

std::size_t count_keys(const team& one)
{
    return one.keys.size();
}

std::string presence(const std::optional<std::vector<team>>& teams)
{
    return teams ? "present" : "absent";
}

std::span<const team> listed(const std::optional<std::vector<team>>& teams)
{
    return teams ? std::span<const team>(*teams) : std::span<const team>();
}

bool is_empty(const entry_change& one)
{
    return one.fields.empty() && one.keys_added == 0 && one.keys_withdrawn == 0;
}

template <class Entry>
void compare_all(configuration_part part, const std::map<entry_key, const Entry*>& before,
                 const std::map<entry_key, const Entry*>& after,
                 std::vector<entry_change>& result)
{
    for (const auto& [key, entry] : before) {
        if (!after.contains(key)) {
            result.push_back({.part = part,
                              .name = key.first,
                              .kind = change_kind::removed,
                              .fields = {},
                              .keys_withdrawn = count_keys(*entry)});
        }
    }
    for (const auto& [key, entry] : after) {
        const auto old = before.find(key);
        entry_change one{.part = part, .name = key.first, .fields = {}};
        if (old == before.end()) {
            one.kind = change_kind::added;
            one.keys_added = count_keys(*entry);
            result.push_back(std::move(one));
            continue;
        }
        compare(*old->second, *entry, one);
        if (!is_empty(one)) {
            result.push_back(std::move(one));
        }
    }
}

} // namespace

std::vector<entry_change> compare_configurations(const configuration& before,
                                                 const configuration& after)
{
    std::vector<entry_change> result;
    compare_all(configuration_part::route, by_name<route>(before.routes),
                by_name<route>(after.routes), result);
    compare_all(configuration_part::service, by_name(before.services),
                by_name(after.services), result);
    entry_change whole{.part = configuration_part::whole, .name = {}, .fields = {}};
    field_comparison(whole).add(field::teams, presence(before.teams),
                                presence(after.teams));
    if (!is_empty(whole)) {
        result.push_back(std::move(whole));
    }
    compare_all(configuration_part::team, by_name<team>(listed(before.teams)),
                by_name<team>(listed(after.teams)), result);
    entry_change limits{.part = configuration_part::limits, .name = {}, .fields = {}};
    compare(before.limits, after.limits, limits);
    if (!is_empty(limits)) {
        result.push_back(std::move(limits));
    }
    return result;
}

} // namespace curranthoist::deployment
