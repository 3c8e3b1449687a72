#include "curranthoist/http/metrics_server.hpp"

#include "curranthoist/http/status.hpp"

#include <utility>

namespace curranthoist::http {

namespace {

caller_response answer_to(const std::string& path, const metrics_server::source& metrics)
{
    if (path != "/metrics") {
        return {.status = status::not_found, .body = "{}"};
    }
    return {.headers = {{"Content-Type", "text/plain; version=0.0.4"}},
            .body = metrics()};
}

} // namespace

metrics_server::metrics_server(ev::loop_ref loop, const base::endpoint& listen,
                               source metrics)
    : server_(loop, caller_server_options::for_probes(listen),
              [metrics = std::move(metrics)](const caller_request& request,
                                             const responder& answer) {
                  answer.respond(answer_to(request.path, metrics));
              })
{}

} // namespace curranthoist::http
