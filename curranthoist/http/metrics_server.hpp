#pragma once

#include "curranthoist/http/caller_server.hpp"

#include <ev++.h>

#include <functional>
#include <string>

namespace curranthoist::http {

// Serves a process's metrics at GET /metrics, on an address of their own, so that neither
// callers nor operators reach them by accident.
class metrics_server
{
public:
    // Gives all metrics in the Prometheus text format.
    using source = std::function<std::string()>;

    // Throws std::system_error if the address can't be bound.
    metrics_server(ev::loop_ref loop, const base::endpoint& listen, source metrics);

private:
    caller_server server_;
};

} // namespace curranthoist::http
