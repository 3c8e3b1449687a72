#include "curranthoist/control/cluster_state.hpp"
#include "curranthoist/control/controller.hpp"
#include "curranthoist/controld/operator_api.hpp"
#include "curranthoist/testing/fuzz/small_deployment.hpp"

#include <cstdint>
#include <string_view>

// Operators' JSON bodies, as a plan and as a confirmation. The first byte chooses which.

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace curranthoist;
    if (size == 0) {
        return 0;
    }
    control::cluster_state state;
    std::uint64_t index = 0;
    for (const auto& command : testing::fuzz::small_deployment()) {
        state.apply(base::log_index(++index), command);
    }
    control::controller controller(state);
    const control::event_time now{base::instant(10'000),
                                  base::instant(testing::fuzz::deployment_time_ms)};
    controller.on_leadership_gained(now);
    controller.on_read_confirmed(*controller.take_output().confirm_read, true, now);
    const controld::operator_api api(state, controller);
    const controld::members_view members{
        "c1", "c1", "127.0.0.1:8081", 0, {{"c1", "127.0.0.1:8080", "voter", 0}}, {}};
    const std::string_view path = data[0] % 2 == 0 ? "/v1/plan" : "/v1/confirm";
    const std::string_view body(reinterpret_cast<const char*>(data) + 1, size - 1);
    const auto result = api.handle("POST", path, body, members, now.wall);
    if (!result.response) {
        const auto applied = state.apply(base::log_index(++index), result.proposal);
        static_cast<void>(controld::operator_api::confirm_response(
            std::get<control::intent_result>(applied)));
    }
    for (const char* view : {"/v1/status", "/v1/configuration", "/v1/decisions"}) {
        static_cast<void>(api.handle("GET", view, {}, members, now.wall));
    }
    return 0;
}
