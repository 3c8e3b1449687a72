#include "curranthoist/cored/founding_phase.hpp"

#include "curranthoist/cored/founder_choice.hpp"
#include "curranthoist/cored/founding_api.hpp"
#include "curranthoist/cored/operator_server_options.hpp"
#include "curranthoist/http/status.hpp"

#include <utility>

namespace curranthoist::cored {

namespace {

constexpr double ask_interval_s = 0.1;
constexpr base::duration answer_limit{500};

} // namespace

founding_phase::founding_phase(ev::loop_ref loop, const platform::node_settings& settings,
                               founder_choice& choice, founder_handler on_founder)
    : settings_(settings)
    , choice_(choice)
    , on_founder_(std::move(on_founder))
    , first_seed_(loop, settings.seeds.front(), 1)
    , server_(loop, operator_server_options(settings),
              [this](const http::caller_request& request, const http::responder& answer) {
                  if (request.path == founding_api::path) {
                      founding_api::answer_request(choice_, request, answer,
                                                   clock_.now());
                      return;
                  }
                  answer.respond({.status = http::status::service_unavailable,
                                  .body = R"({"error":"the log is being founded"})"});
              })
    , timer_(loop)
{
    timer_.set<founding_phase, &founding_phase::on_timer>(this);
    timer_.start(0.0, ask_interval_s);
}

void founding_phase::on_timer(ev::timer& /*watcher*/, int /*events*/)
{
    const base::endpoint own{settings_.address, settings_.first_internal_port};
    if (settings_.seeds.front().address == settings_.address) {
        founder_ = choice_.ask(own, clock_.now());
    }
    if (founder_) {
        timer_.stop();
        // The handler destroys this object.
        const founder_handler on_founder = std::move(on_founder_);
        on_founder(*founder_);
        return;
    }
    if (first_seed_.open_calls() > 0) {
        return;
    }
    http::target_call call;
    call.path = founding_api::path;
    call.body = founding_api::encode_request(own);
    call.time_limit = answer_limit;
    first_seed_.start(std::move(call), [this](const http::target_result& result) {
        if (result.outcome == http::call_outcome::ok) {
            founder_ = founding_api::decode_answer(result.body);
        }
    });
}

} // namespace curranthoist::cored
