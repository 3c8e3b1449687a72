#include "curranthoist/settings/control_settings.hpp"

#include "curranthoist/settings/internal/log_levels.hpp"
#include "curranthoist/settings/internal/parse_toml.hpp"
#include "curranthoist/settings/internal/table_reader.hpp"

#include <algorithm>
#include <set>

namespace curranthoist::settings {

namespace {

void read_addresses(internal::table_reader table, control_settings& result)
{
    result.peers = table.required_endpoint("peers");
    result.operators = table.required_endpoint("operators");
    if (!result.peers.address.empty() && result.peers == result.operators) {
        table.reject("operators", "'listen.operators' must differ from 'listen.peers'");
    }
    table.finish();
}

void read_members(internal::table_reader& root, control_settings& result)
{
    std::set<base::member_id> names;
    for (internal::table_reader& table : root.required_tables("members")) {
        member_settings member;
        member.name = base::member_id(table.required_text("name"));
        member.peer_address = table.required_endpoint("peer_address");
        member.operators_address = table.required_endpoint("operators_address");
        if (!member.name.empty() && !names.insert(member.name).second) {
            table.reject("name", "member \"" + member.name.str() + "\" appears twice");
        }
        table.finish();
        result.members.push_back(std::move(member));
    }
}

} // namespace

control_settings parse_control_settings(std::string_view text, const std::string& file)
{
    constexpr std::int64_t min_snapshot_interval = 16;
    constexpr std::int64_t max_snapshot_interval = 1'000'000;
    constexpr std::int64_t min_memory_mb = 64;
    constexpr std::int64_t max_memory_mb = 1'000'000;
    const internal::toml_value document = internal::parse_toml(text, file);
    internal::report mistakes(file);
    internal::table_reader root(document, "", mistakes);
    control_settings result;
    result.name = base::member_id(root.required_text("name"));
    result.data_folder = root.required_text("data_folder");
    result.log_level = internal::log_levels[root.one_of("log_level", internal::log_levels,
                                                        internal::default_log_level)];
    result.snapshot_interval_entries = static_cast<std::uint64_t>(
        root.number("snapshot_interval_entries",
                    static_cast<std::int64_t>(result.snapshot_interval_entries),
                    min_snapshot_interval, max_snapshot_interval));
    result.memory_mb = static_cast<std::uint64_t>(
        root.number("memory_mb", static_cast<std::int64_t>(result.memory_mb),
                    min_memory_mb, max_memory_mb));
    read_addresses(root.table("listen"), result);
    read_members(root, result);
    root.finish();
    mistakes.throw_if_any();
    return result;
}

control_settings read_control_settings(const std::string& file)
{
    return parse_control_settings(internal::read_file(file), file);
}

} // namespace curranthoist::settings
