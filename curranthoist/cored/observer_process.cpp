#include "curranthoist/cored/observer_process.hpp"

#include "curranthoist/base/wall_clock.hpp"
#include "curranthoist/cored/founder_choice.hpp"
#include "curranthoist/cored/founding_api.hpp"
#include "curranthoist/cored/front_port_limits.hpp"
#include "curranthoist/cored/join_client.hpp"
#include "curranthoist/cored/operator_server_options.hpp"
#include "curranthoist/http/status.hpp"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace curranthoist::cored {

namespace {

constexpr double tick_s = 0.5;

std::vector<base::endpoint> peers_of(const platform::node_settings& settings)
{
    std::vector<base::endpoint> result;
    for (const base::endpoint& seed : settings.seeds) {
        if (seed.address != settings.address) {
            result.push_back({seed.address, settings.first_internal_port});
        }
    }
    return result;
}

} // namespace

observer_process::observer_process(ev::loop_ref loop,
                                   const platform::node_settings& settings,
                                   founder_choice& choice)
    : settings_(settings)
    , choice_(choice)
    , links_(loop, base::vm_id(settings.name), settings.zone, peers_of(settings), {},
             true)
    , sessions_(nothing_, settings.link_bytes_per_s,
                [this] {
                    front_sessions::core_view view;
                    for (const base::endpoint& one : links_.members()) {
                        view.members.push_back(one.str());
                    }
                    return view;
                })
    , peers_(
          loop,
          {base::member_id("observer-" + settings.address),
           settings.zone,
           base::incarnation(
               static_cast<std::uint64_t>(base::wall_clock().now().count())),
           {settings.operators->address, settings.first_internal_port},
           front_port_limits(settings),
           nullptr,
           {},
           [this](const base::endpoint& member) { links_.learn(member); }},
          [](const consensus::message_body&) {},
          [this](std::unique_ptr<consensus::peer_session> session,
                 const wire::hello& hello) {
              sessions_.on_session(std::move(session), hello);
          })
    , server_(loop, operator_server_options(settings),
              [this](const http::caller_request& request, const http::responder& answer) {
                  on_request(request, answer);
              })
    , tick_(loop)
{
    tick_.set<observer_process, &observer_process::on_tick>(this);
    tick_.start(tick_s, tick_s);
    log_.info("event=started vm=" + settings.name +
              " operators=" + settings.operators->str());
}

void observer_process::on_tick(ev::timer& /*watcher*/, int /*events*/)
{
    sessions_.close_silent();
}

void observer_process::on_request(const http::caller_request& request,
                                  const http::responder& answer)
{
    if (request.path == join_client::path) {
        if (const auto member = join_client::decode(request.body)) {
            links_.learn(member->address);
        }
    }
    const auto leader = links_.leader();
    if (request.path == founding_api::path) {
        if (leader) {
            choice_.settle(*leader);
        }
        founding_api::answer_request(choice_, request, answer, clock_.now());
        return;
    }
    if (!leader) {
        answer.respond({.status = http::status::service_unavailable,
                        .body = R"({"error":"no leader is known"})"});
        return;
    }
    // Every VM of a deployment uses the same ports.
    const base::endpoint operators{leader->address, settings_.operators->port};
    http::caller_response response;
    response.status = http::status::temporary_redirect;
    response.headers.emplace("Location", "http://" + operators.str() + request.target);
    response.body = R"({"error":"not the leader"})";
    answer.respond(std::move(response));
}

void observer_process::reload(const platform::node_settings& settings)
{
    links_.set_seeds(peers_of(settings));
    log_.info("event=settings_reloaded seeds=" + std::to_string(settings.seeds.size()));
}

} // namespace curranthoist::cored
