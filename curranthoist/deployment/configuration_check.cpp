#include "curranthoist/deployment/configuration_check.hpp"

#include "curranthoist/deployment/configuration.hpp"
#include "curranthoist/deployment/route_table.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace curranthoist::deployment {

namespace {

using field = configuration_field;

// The order of a configuration's routes is that of the table's own copy.
std::size_t index_in(const route_table& table, const route* found)
{
    return static_cast<std::size_t>(found - table.source().routes.data());
}

bool has_blank_or_control(std::string_view text)
{
    constexpr char del = 0x7f;
    return std::any_of(text.begin(), text.end(), [](char letter) {
        return (letter >= 0 && letter <= ' ') || letter == del;
    });
}

class checker
{
public:
    checker(const configuration& checked, const configuration_bounds& bounds)
        : checked_(checked)
        , bounds_(bounds)
        , table_(checked)
    {}

    std::vector<configuration_remark> run()
    {
        for (std::size_t i = 0; i < checked_.routes.size(); ++i) {
            begin(configuration_part::route, i);
            check_reach(checked_.routes[i], i);
            check_times(checked_.routes[i]);
            check_split(checked_.routes[i]);
            check_shards(checked_.routes[i]);
        }
        for (const auto& [id, limits] : checked_.services) {
            begin(configuration_part::service, 0);
            current_.service = id.str();
            check_service(id, limits);
        }
        if (checked_.teams) {
            check_teams(*checked_.teams);
        }
        begin(configuration_part::limits, 0);
        check_limits();
        return std::move(remarks_);
    }

private:
    // The remarks that follow are about this entry.
    void begin(configuration_part part, std::size_t index)
    {
        current_ = configuration_remark();
        current_.part = part;
        current_.index = index;
    }
    void add(field place, std::string text)
    {
        configuration_remark one = current_;
        one.field = place;
        one.text = std::move(text);
        remarks_.push_back(std::move(one));
    }
    void add_element(field place, std::size_t element, std::string text)
    {
        add(place, std::move(text));
        remarks_.back().element = element;
    }
    void check_reach(const route& one, std::size_t index)
    {
        const auto [named, first] = route_names_.emplace(one.name, index);
        if (one.name.empty()) {
            add(field::name, "is empty");
        }
        else if (!first) {
            add(field::name,
                "is also that of routes[" + std::to_string(named->second) + "]");
        }
        if (one.host.empty() || one.host.front() == ':') {
            add(field::host, "is empty, so only requests without a host match");
        }
        else if (has_blank_or_control(one.host) ||
                 one.host.find('/') != std::string::npos) {
            add(field::host, "holds a character that no host has, so no request matches");
        }
        else if (one.host.front() == '[') {
            add(field::host,
                "is cut at its first ':', so every IPv6 address matches instead of one");
        }
        if (one.path_prefix.find('#') != std::string::npos ||
            has_blank_or_control(one.path_prefix)) {
            add(field::path_prefix,
                "holds a character that no path has, so no request matches");
            return;
        }
        // The table that serves requests decides.
        const route* found = table_.find(one.host, one.path_prefix);
        if (one.path_prefix.find('?') != std::string::npos) {
            add(field::path_prefix,
                "holds a '?', where a request's path ends, so no request matches");
        }
        else if (found == nullptr) {
            add(field::entry, "no request matches this route");
        }
        else if (index_in(table_, found) != index) {
            add(field::entry, "is hidden by routes[" +
                                  std::to_string(index_in(table_, found)) +
                                  "]: their hosts are the same without port and case, "
                                  "and so are their prefixes");
        }
    }
    void check_times(const route& one)
    {
        if (one.objective > one.time_limit) {
            add(field::time_limit, "is below the latency objective, so a request ends "
                                   "before it misses its objective");
        }
        if (one.objective <= base::duration()) {
            add(field::objective, "is 0, so no response earns full credit");
        }
        if (one.max_attempts == 0) {
            add(field::max_attempts, "is 0 and counts as 1");
        }
        const base::duration usable = std::min(one.objective, one.time_limit);
        if (one.max_attempts > 1 &&
            usable < bounds_.min_try_time + bounds_.min_try_time) {
            add(field::max_attempts,
                "is above 1, but the latency objective and the time limit leave no time "
                "for a second send: two take at least " +
                    std::to_string(2 * bounds_.min_try_time.count()) + " ms");
        }
    }
    void check_split(const route& one)
    {
        std::set<base::service_id> seen;
        for (std::size_t i = 0; i < one.services.size(); ++i) {
            if (one.services[i].weight <= 0) {
                add_element(field::weight, i,
                            "is 0, so service '" + one.services[i].service.str() +
                                "' gets no requests of this route");
            }
            if (!seen.insert(one.services[i].service).second) {
                add_element(field::services, i,
                            "names service '" + one.services[i].service.str() +
                                "' again; the weights add up");
            }
        }
    }
    void check_shards(const route& one)
    {
        if (!one.gathers()) {
            return;
        }
        std::set<base::service_id> seen;
        for (std::size_t i = 0; i < one.shards.size(); ++i) {
            if (!seen.insert(one.shards[i]).second) {
                add_element(field::shards, i,
                            "names service '" + one.shards[i].str() +
                                "' again, so its records count twice");
            }
        }
        if (one.top_records == 0) {
            add(field::top_records, "is 0, so every response is empty");
        }
        if (one.min_share > 1.0) {
            add(field::min_share, "is above 1, a share that no response reaches");
        }
        if (one.min_share <= 0.0) {
            add(field::min_share,
                "is 0, so a response with a single shard counts as a success");
        }
    }
    void check_service(const base::service_id& id, const service_limits& limits)
    {
        const auto& named = table_.services();
        if (id.empty()) {
            add(field::name, "is empty");
        }
        if (!std::binary_search(named.begin(), named.end(), id)) {
            add(field::entry, "service '" + id.str() + "' is named by no route");
        }
        if (limits.health_path.empty() || limits.health_path.front() != '/') {
            add(field::health_path, "does not begin with '/'");
        }
        if (limits.max_connections == 0) {
            add(field::max_connections,
                "is 0, so targets reset the one connection that each VM opens");
        }
        else if (limits.max_connections < bounds_.min_connections) {
            add(field::max_connections,
                "is below " + std::to_string(bounds_.min_connections) +
                    ", which one VM needs to replace a connection that is closing");
        }
    }
    void check_teams(std::span<const team> teams)
    {
        begin(configuration_part::whole, 0);
        if (teams.empty()) {
            add(field::teams,
                "is empty, so no key is known and only public routes serve requests");
        }
        for (std::size_t i = 0; i < teams.size(); ++i) {
            begin(configuration_part::team, i);
            check_team(teams[i]);
        }
    }
    void check_team(const team& one)
    {
        if (one.keys.empty()) {
            add(field::keys,
                "are none, so no request belongs to team '" + one.name + "'");
        }
        if (one.is_limited() && one.burst < 1.0) {
            add(field::burst,
                "is below one request, so a team that was quiet saves up none");
        }
        if (!one.is_limited() && one.burst > 0) {
            add(field::burst, "has no effect, since the rate is 0 and so not limited");
        }
    }
    void check_limits()
    {
        const caller_limits& limits = checked_.limits;
        if (limits.max_header_bytes == 0) {
            add(field::max_header_bytes, "is 0, so every request is refused");
        }
        if (limits.max_header_bytes > bounds_.usual_header_bytes) {
            add(field::max_header_bytes,
                "is above " + std::to_string(bounds_.usual_header_bytes) +
                    " bytes, so that a VM's memory holds fewer connections");
        }
        if (limits.max_body_bytes == 0) {
            add(field::max_body_bytes, "is 0, so requests with a body are refused");
        }
        if (limits.max_body_bytes > bounds_.max_body_bytes) {
            add(field::max_body_bytes, "is above the " +
                                           std::to_string(bounds_.max_body_bytes) +
                                           " bytes that a VM takes; longer bodies get "
                                           "413");
        }
        if (limits.header_timeout <= base::duration()) {
            add(field::header_timeout, "is 0, a time in which no head arrives");
        }
        if (limits.idle_timeout <= base::duration()) {
            add(field::idle_timeout,
                "is 0, so a body that has not arrived whole is refused");
        }
        if (limits.header_timeout > limits.idle_timeout) {
            add(field::header_timeout, "is above the idle timeout, so a head may take "
                                       "longer than a connection may be silent");
        }
    }

    const configuration& checked_;
    const configuration_bounds& bounds_;
    const route_table table_;
    std::map<std::string, std::size_t> route_names_;
    // The entry that add() remarks on.
    configuration_remark current_;
    std::vector<configuration_remark> remarks_;
};

} // namespace

std::vector<configuration_remark> check_configuration(const configuration& checked,
                                                      const configuration_bounds& bounds)
{
    return checker(checked, bounds).run();
}

base::findings limits_beyond_any_vm(const configuration& checked,
                                    const configuration_bounds& bounds)
{
    base::findings found;
    if (checked.limits.max_header_bytes > bounds.max_header_bytes) {
        found.add("limits.max_header_bytes", "is above " +
                                                 std::to_string(bounds.max_header_bytes) +
                                                 " bytes, the longest heads for which a "
                                                 "VM has memory");
    }
    return found;
}

} // namespace curranthoist::deployment
