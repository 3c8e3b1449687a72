#include "curranthoist/execution/describe_action.hpp"

namespace curranthoist::execution {
namespace {

std::string describe_alternative(const claim_order& action)
{
    return "claiming the request id for attempt " + std::to_string(action.attempt);
}

std::string describe_alternative(const send_order& action)
{
    return "sent the order to target " + action.where.target.str() + " through VM " +
           action.where.owner.str();
}

std::string describe_alternative(const record_outcome& action)
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

std::string describe_alternative(const answer_order& action)
{
    switch (action.outcome) {
    case order_outcome::ran:
        return "answered the caller with the target's response";
    case order_outcome::not_run:
        return "answered the caller with not run: " + std::string(action.text);
    case order_outcome::unknown:
        break;
    }
    return "answered the caller with outcome unknown: " + std::string(action.text);
}

} // namespace

std::string describe(const order_action& action)
{
    return std::visit([](const auto& value) { return describe_alternative(value); },
                      action);
}

} // namespace curranthoist::execution
