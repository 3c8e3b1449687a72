#pragma once

#include "curranthoist/base/counter_registry.hpp"
#include "curranthoist/base/logger.hpp"
#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/base/random_source.hpp"
#include "curranthoist/entry/control_session.hpp"
#include "curranthoist/entry/deferred_calls.hpp"
#include "curranthoist/entry/part_server.hpp"
#include "curranthoist/entry/relay_client.hpp"
#include "curranthoist/entry/relay_server.hpp"
#include "curranthoist/entry/request_dispatcher.hpp"
#include "curranthoist/entry/service_registry.hpp"
#include "curranthoist/entry/stop_controller.hpp"
#include "curranthoist/http/caller_server.hpp"
#include "curranthoist/settings/entry_settings.hpp"

#include <ev++.h>

namespace curranthoist::entry {

// All tasks of one entry process on its loop, and the stop on SIGTERM and SIGINT.
class entry_process
{
public:
    // Throws std::system_error if an address can't be bound.
    explicit entry_process(const settings::entry_settings& settings);

    // Runs until a stop is finished. Returns false if the stop limit passed first.
    bool run();

private:
    void on_configuration();
    void on_lease();
    void on_signal(ev::sig& watcher, int events);
    void on_tick(ev::timer& watcher, int events);
    void enter_phase(stop_phase phase);
    // Targets, relayed parts and unsent replies that a stop waits for.
    [[nodiscard]] std::size_t connections_to_wait_for();
    [[nodiscard]] std::size_t unreleased() const;

    settings::entry_settings settings_;
    base::incarnation run_;
    ev::dynamic_loop loop_;
    base::counter_registry metrics_;
    base::monotonic_clock clock_;
    base::logger log_{"process"};
    base::random_source random_;
    stop_controller stop_;
    // When the listening socket was closed.
    base::instant releasing_since_;
    deferred_calls deferred_;
    service_registry services_;
    part_server own_;
    relay_client relay_;
    control_session control_;
    request_dispatcher dispatcher_;
    relay_server relay_server_;
    http::caller_server callers_;
    ev::sig terminate_;
    ev::sig interrupt_;
    ev::timer tick_;
};

} // namespace curranthoist::entry
