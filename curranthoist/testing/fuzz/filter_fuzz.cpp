#include "curranthoist/control/configuration.hpp"
#include "curranthoist/entry/filters/filter_chain.hpp"
#include "curranthoist/http/caller_request.hpp"

#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

// Callers' requests through the filters. The input is the method, the path, the
// Request-Id and the Deadline-Ms, a line each, and the body.

namespace curranthoist::testing::fuzz {

namespace {

std::string take_line(std::string_view& input)
{
    const std::string_view line = input.substr(0, input.find('\n'));
    input.remove_prefix(std::min(input.size(), line.size() + 1));
    return std::string(line);
}

control::configuration two_services()
{
    control::configuration result;
    result.services[base::service_id("desk")] = control::service_spec{};
    result.services[base::service_id("book")].kind = control::service_kind::order;
    return result;
}

void run(std::string_view input)
{
    const control::configuration services = two_services();
    entry::process_state state;
    state.now = base::instant(10'000);
    state.lease_valid = true;
    state.in_service = true;
    state.new_request_id = "1-vm-1";
    state.configuration = &services;
    http::caller_request request;
    request.method = take_line(input);
    request.path = take_line(input);
    for (const char* header : {"Request-Id", "Deadline-Ms"}) {
        if (const std::string value = take_line(input); !value.empty()) {
            request.headers[header] = value;
        }
    }
    request.body = std::string(input);
    entry::admitted_request admitted;
    const bool refused = entry::run_filters(request, state, admitted).has_value();
    const base::instant latest = state.now + state.limits.max_deadline;
    const bool sound = !admitted.id.empty() && admitted.deadline > state.now &&
                       admitted.deadline <= latest;
    if (!refused && !sound) {
        std::abort();
    }
}

} // namespace

} // namespace curranthoist::testing::fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    curranthoist::testing::fuzz::run({reinterpret_cast<const char*>(data), size});
    return 0;
}
