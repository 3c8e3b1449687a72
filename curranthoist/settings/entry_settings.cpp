#include "curranthoist/settings/entry_settings.hpp"

#include "curranthoist/settings/internal/log_levels.hpp"
#include "curranthoist/settings/internal/parse_toml.hpp"
#include "curranthoist/settings/internal/table_reader.hpp"

#include <array>

namespace curranthoist::settings {

namespace {

constexpr std::int64_t max_milliseconds = 600'000;
constexpr std::int64_t max_count = 100'000;
constexpr std::int64_t max_bytes = 16'000'000;

base::duration milliseconds(internal::table_reader& table, std::string_view key,
                            base::duration fallback, std::int64_t low)
{
    return base::duration(table.number(key, fallback.count(), low, max_milliseconds));
}

std::uint32_t count(internal::table_reader& table, std::string_view key,
                    std::uint32_t fallback)
{
    return static_cast<std::uint32_t>(table.number(key, fallback, 1, max_count));
}

std::uint64_t bytes(internal::table_reader& table, std::string_view key,
                    std::uint64_t fallback, std::int64_t low)
{
    return static_cast<std::uint64_t>(
        table.number(key, static_cast<std::int64_t>(fallback), low, max_bytes));
}

void read_limits(internal::table_reader table, entry_limits& limits)
{
    constexpr std::int64_t max_idle_s = 3600;
    constexpr std::int64_t min_header_bytes = 1024;
    constexpr std::int64_t min_memory_mb = 64;
    constexpr std::int64_t max_memory_mb = 1'000'000;
    constexpr std::int64_t milliseconds_per_second = 1000;
    limits.memory_mb = static_cast<std::uint64_t>(
        table.number("memory_mb", static_cast<std::int64_t>(limits.memory_mb),
                     min_memory_mb, max_memory_mb));
    limits.max_connections = count(table, "max_connections", limits.max_connections);
    limits.max_concurrent_requests =
        count(table, "max_concurrent_requests", limits.max_concurrent_requests);
    limits.max_header_bytes =
        bytes(table, "max_header_bytes", limits.max_header_bytes, min_header_bytes);
    limits.max_body_bytes = bytes(table, "max_body_bytes", limits.max_body_bytes, 1);
    limits.max_shards_per_query =
        count(table, "max_shards_per_query", limits.max_shards_per_query);
    limits.max_deadline = milliseconds(table, "max_deadline_ms", limits.max_deadline, 1);
    limits.idle_limit = base::duration(
        table.number("idle_limit_s", limits.idle_limit.count() / milliseconds_per_second,
                     1, max_idle_s) *
        milliseconds_per_second);
    table.finish();
}

void read_policies(internal::table_reader table, policy_settings& policies)
{
    constexpr std::array<std::string_view, 3> choices{"two_choices", "random",
                                                      "round_robin"};
    constexpr std::array<std::string_view, 2> returns{"paced", "immediate"};
    policies.replica_choice =
        static_cast<replica_choice_policy>(table.one_of("replica_choice", choices, 0));
    policies.hedging = table.flag("hedging", policies.hedging);
    policies.admission = table.flag("admission", policies.admission);
    policies.cold_return =
        static_cast<cold_return_policy>(table.one_of("cold_return", returns, 0));
    table.finish();
}

void read_addresses(internal::table_reader table, entry_settings& result)
{
    result.callers = table.required_endpoint("callers");
    result.peers = table.required_endpoint("peers");
    if (!result.callers.address.empty() && result.callers == result.peers) {
        table.reject("peers", "'listen.peers' must differ from 'listen.callers'");
    }
    table.finish();
}

void check_stop(internal::table_reader& root, const entry_settings& value)
{
    const base::duration needed = value.balancer_delay + value.limits.max_deadline;
    if (value.stop_limit <= needed) {
        root.reject("stop_limit_ms", "'stop_limit_ms' must be longer than "
                                     "'balancer_delay_ms' plus 'limits.max_deadline_ms' "
                                     "(" +
                                         std::to_string(needed.count()) + ")");
    }
}

} // namespace

entry_settings parse_entry_settings(std::string_view text, const std::string& file)
{
    const internal::toml_value document = internal::parse_toml(text, file);
    internal::report mistakes(file);
    internal::table_reader root(document, "", mistakes);
    entry_settings result;
    result.vm = base::vm_id(root.required_text("vm"));
    result.zone = base::zone_id(root.required_text("zone"));
    result.control = root.required_endpoints("control");
    result.log_level = internal::log_levels[root.one_of("log_level", internal::log_levels,
                                                        internal::default_log_level)];
    result.balancer_delay =
        milliseconds(root, "balancer_delay_ms", result.balancer_delay, 0);
    result.stop_limit = milliseconds(root, "stop_limit_ms", result.stop_limit, 1);
    read_addresses(root.table("listen"), result);
    read_limits(root.table("limits"), result.limits);
    read_policies(root.table("policies"), result.policies);
    check_stop(root, result);
    root.finish();
    mistakes.throw_if_any();
    return result;
}

entry_settings read_entry_settings(const std::string& file)
{
    return parse_entry_settings(internal::read_file(file), file);
}

} // namespace curranthoist::settings
