#include "curranthoist/execution/describe_action.hpp"

namespace curranthoist::execution {
namespace {

std::string text(const claim_order& action)
{
    return "claiming the request id in attempt " + std::to_string(action.attempt);
}

std::string text(const send_order& action)
{
    return "sent the order to target " + action.where.target.str() + " through " +
           action.where.owner.str();
}

std::string text(const record_outcome& action)
{
    switch (action.result) {
    case wire::claim_result::ran:
        return "recording the outcome as ran";
    case wire::claim_result::not_run:
        return "recording the outcome as not run";
    case wire::claim_result::unknown:
        break;
    }
    return "recording the outcome as unknown";
}

std::string text(const answer_order& action)
{
    switch (action.outcome) {
    case order_outcome::ran:
        return "answered with the target's response";
    case order_outcome::not_run:
        return "answered not run: " + std::string(action.text);
    case order_outcome::unknown:
        break;
    }
    return "answered outcome unknown: " + std::string(action.text);
}

} // namespace

std::string describe(const order_action& action)
{
    return std::visit([](const auto& value) { return text(value); }, action);
}

} // namespace curranthoist::execution
