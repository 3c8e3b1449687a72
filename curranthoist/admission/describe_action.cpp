#include "curranthoist/admission/describe_action.hpp"

namespace curranthoist::admission {
namespace {

std::string text(const start_call& action)
{
    return "started call " + std::to_string(action.call) +
           (action.fresh ? " on a new connection" : " on an idle connection");
}

std::string text(const reject_call& action)
{
    return "rejected call " + std::to_string(action.call) + ": " +
           std::string(action.text);
}

std::string text(const cancel_call& action)
{
    return "cancelled call " + std::to_string(action.call) +
           (action.timed_out ? ": deadline exceeded without a response"
                             : ": its response is no longer needed");
}

std::string text(const close_connections&)
{
    return "closing all connections to release the target";
}

std::string text(const target_released& action)
{
    return std::string("released the target, ") + (action.warm ? "warm" : "cold") +
           ", warm-up rate " + std::to_string(action.pace_milli_per_s) + " per 1,000 s";
}

} // namespace

std::string describe(const target_action& action)
{
    return std::visit([](const auto& value) { return text(value); }, action);
}

} // namespace curranthoist::admission
