#include "curranthoist/controld/control_process.hpp"

#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/base/wall_clock.hpp"
#include "curranthoist/consensus/membership.hpp"
#include "curranthoist/control/commands.hpp"

#include <algorithm>
#include <filesystem>
#include <random>
#include <utility>
#include <vector>

namespace curranthoist::controld {

namespace {

// Longer than a create_service intent with the design size's 4,500 targets.
constexpr std::size_t max_operator_body_bytes = std::size_t{4} * 1024 * 1024;

// The parts of the process's memory that operators' connections, their bodies, frames at
// the port of other processes, and connections there may take.
constexpr std::size_t operator_connection_divisor = 16;
constexpr std::size_t body_divisor = 8;
constexpr std::size_t frame_divisor = 4;
constexpr std::size_t peer_connection_divisor = 16;

std::size_t memory_bytes(const settings::control_settings& settings)
{
    return settings.memory_mb * 1024 * 1024;
}

http::caller_server_options
operator_server_options(const settings::control_settings& settings)
{
    constexpr std::size_t max_connections = 256;
    http::caller_server_options result{.listen = settings.operators,
                                       .max_body_bytes = max_operator_body_bytes};
    result.max_connections = static_cast<unsigned>(
        std::min(max_connections,
                 memory_bytes(settings) / operator_connection_divisor /
                     http::caller_server::connection_bytes(result.max_header_bytes)));
    result.max_request_memory =
        std::max(memory_bytes(settings) / body_divisor, max_operator_body_bytes);
    return result;
}

wire::peer_account::limits peer_limits(const settings::control_settings& settings)
{
    wire::peer_account::limits result;
    result.max_connections = std::min(result.max_connections,
                                      memory_bytes(settings) / peer_connection_divisor /
                                          wire::peer_account::uncounted_connection_bytes);
    result.max_bytes =
        std::max(memory_bytes(settings) / frame_divisor, wire::max_envelope_bytes);
    return result;
}

std::string create_folder(const std::string& folder, start_mode mode)
{
    if (mode != start_mode::existing) {
        std::filesystem::create_directories(folder);
    }
    else if (!std::filesystem::is_directory(folder)) {
        base::findings found;
        found.add(folder, "the data folder is missing; a member that lost it is replaced "
                          "under a new name with --init-replacement");
        throw base::findings_error(found);
    }
    return folder;
}

std::vector<storage::log_entry> first_entries(const settings::control_settings& settings)
{
    std::vector<consensus::member> members;
    for (const settings::member_settings& one : settings.members) {
        members.push_back({one.name, one.peer_address, consensus::member_role::voter});
    }
    return {consensus::first_log_entry(consensus::membership(std::move(members)))};
}

std::string role_name(consensus::member_role role)
{
    switch (role) {
    case consensus::member_role::voter:
        return "voter";
    case consensus::member_role::learner:
        return "learner";
    case consensus::member_role::leaving:
        break;
    }
    return "leaving";
}

} // namespace

storage::posix_disk& control_process::prepare(storage::posix_disk& disk,
                                              const settings::control_settings& settings,
                                              start_mode mode)
{
    using store_type = storage::log_store<storage::posix_disk>;
    if (mode == start_mode::new_cluster) {
        store_type::initialise(disk, settings.name, first_entries(settings));
    }
    else if (mode == start_mode::replacement) {
        store_type::initialise(disk, settings.name, {});
    }
    return disk;
}

control_process::control_process(ev::loop_ref loop, settings::control_settings settings,
                                 start_mode mode)
    : loop_(loop)
    , settings_(std::move(settings))
    , disk_(create_folder(settings_.data_folder, mode))
    , store_(prepare(disk_, settings_, mode))
    , host_(loop_, store_, machine_, host_options(),
            [this](std::unique_ptr<consensus::peer_session> session,
                   const wire::hello& hello) {
                service_->on_entry(std::move(session), hello);
            })
    , replacer_(host_)
    , stop_timer_(loop_)
{
    const base::member_id stored = host_.status().self;
    if (stored != settings_.name) {
        base::findings found;
        found.add(settings_.data_folder, "belongs to member '" + stored.str() +
                                             "', not to '" + settings_.name.str() + "'");
        throw base::findings_error(found);
    }
    service_ = std::make_unique<service_type>(loop_, machine_, host_,
                                              [this] { return members(); });
    service_->set_tick_handler([this] { on_tick(); });
    host_.set_leadership_handler(
        [this](bool is_leader) { service_->on_leadership(is_leader); });
    server_ = std::make_unique<http::caller_server>(
        loop_, operator_server_options(settings_),
        [this](const http::caller_request& request, http::responder answer) {
            service_->on_request(request, std::move(answer));
        });
    stop_timer_.set<control_process, &control_process::on_stop_timer>(this);
}

consensus::host_options control_process::host_options() const
{
    consensus::host_options options;
    options.listen = settings_.peers;
    options.accepted = peer_limits(settings_);
    options.incarnation =
        base::incarnation(static_cast<std::uint64_t>(base::wall_clock().now().count()));
    options.seed = std::random_device()();
    options.entries_per_snapshot = settings_.snapshot_interval_entries;
    return options;
}

std::string control_process::operators_address(const consensus::member& one) const
{
    const auto known =
        std::find_if(settings_.members.begin(), settings_.members.end(),
                     [&one](const auto& member) { return member.name == one.id; });
    if (known != settings_.members.end()) {
        return known->operators_address.str();
    }
    // A replacement is not in older settings; all members use one port by convention.
    return base::endpoint{one.address.address, settings_.operators.port}.str();
}

members_view control_process::members() const
{
    const consensus::replica_status status = host_.status();
    members_view view;
    view.self = status.self.str();
    view.leader = status.leader.str();
    view.commit_index = status.commit_index.value();
    view.repair = replacer_.state();
    for (const consensus::member& one : status.members.members()) {
        member_view member{one.id.str(), one.address.str(), role_name(one.role), 0};
        for (const consensus::member_progress& progress : status.progress) {
            if (progress.id == one.id) {
                member.match_index = progress.match_index.value();
            }
        }
        if (one.id == status.self) {
            member.match_index = status.last_index.value();
        }
        if (one.id == status.leader) {
            view.leader_operators_address = operators_address(one);
        }
        view.members.push_back(std::move(member));
    }
    return view;
}

void control_process::on_tick()
{
    const auto& wanted = machine_.state().wanted_replacement();
    if (!wanted || !service_->leader().is_ready()) {
        return;
    }
    constexpr base::duration propose_interval{2000};
    const base::instant now = clock_.now();
    if (replacer_.step(*wanted, host_.status(), now) &&
        now - replaced_proposed_ >= propose_interval) {
        replaced_proposed_ = now;
        control::encoded::member_replaced_message done;
        done.old_member = wanted->old_member;
        service_->propose(
            control::encode_command(base::wall_clock().now(), std::move(done)));
    }
}

void control_process::stop()
{
    if (!host_.transfer_leadership()) {
        loop_.break_loop(ev::ALL);
        return;
    }
    stop_until_ =
        clock_.now() + base::duration(static_cast<std::int64_t>(handover_limit_s * 1000));
    stop_timer_.start(handover_poll_s, handover_poll_s);
}

void control_process::on_stop_timer(ev::timer& /*watcher*/, int /*events*/)
{
    // After it has asked its successor to stand, it no longer acts as the leader, but
    // stays until the successor is elected.
    const bool is_deposed = host_.status().role != consensus::replica_role::leader;
    if (is_deposed || clock_.now() >= stop_until_) {
        stop_timer_.stop();
        loop_.break_loop(ev::ALL);
    }
}

} // namespace curranthoist::controld
