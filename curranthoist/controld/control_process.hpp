#pragma once

#include "curranthoist/consensus/peer_session.hpp"
#include "curranthoist/consensus/replica_host.hpp"
#include "curranthoist/controld/applied_state.hpp"
#include "curranthoist/controld/control_service.hpp"
#include "curranthoist/controld/member_replacer.hpp"
#include "curranthoist/http/caller_server.hpp"
#include "curranthoist/settings/control_settings.hpp"
#include "curranthoist/storage/log_store.hpp"
#include "curranthoist/storage/posix_disk.hpp"

#include <ev++.h>

#include <memory>

namespace curranthoist::controld {

// How a control process starts with its data folder.
enum class start_mode : std::uint8_t
{
    // Continues with the state in the folder.
    existing,
    // Writes the identity and the first members of a new deployment.
    new_cluster,
    // Writes an identity only; the log comes from the other members.
    replacement
};

// One control process: the member of the replicated log, the controllers and the
// operators' HTTP server on one loop.
class control_process
{
public:
    // Throws base::findings_error if the data folder can't be used in that mode and
    // std::system_error if an address can't be bound.
    control_process(ev::loop_ref loop, settings::control_settings settings,
                    start_mode mode);

    // Begins a graceful stop: hands leadership over if it has it, and ends the loop.
    void stop();

private:
    using host_type = consensus::replica_host<applied_state>;
    using service_type = control_service<host_type, consensus::peer_session>;

    // Leadership is handed over within this time, or the process stops without.
    static constexpr double handover_limit_s = 1.0;
    static constexpr double handover_poll_s = 0.02;

    static storage::posix_disk& prepare(storage::posix_disk& disk,
                                        const settings::control_settings& settings,
                                        start_mode mode);
    [[nodiscard]] consensus::host_options host_options() const;
    [[nodiscard]] members_view members() const;
    [[nodiscard]] std::string operators_address(const consensus::member& one) const;
    void on_tick();
    void on_stop_timer(ev::timer& watcher, int events);

    ev::loop_ref loop_;
    settings::control_settings settings_;
    base::monotonic_clock clock_;
    storage::posix_disk disk_;
    storage::log_store<storage::posix_disk> store_;
    applied_state machine_;
    std::unique_ptr<service_type> service_;
    host_type host_;
    member_replacer<host_type> replacer_;
    std::unique_ptr<http::caller_server> server_;
    ev::timer stop_timer_;
    base::instant stop_until_;
    base::instant replaced_proposed_;
};

} // namespace curranthoist::controld
