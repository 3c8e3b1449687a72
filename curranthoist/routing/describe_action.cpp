#include "curranthoist/routing/describe_action.hpp"

namespace curranthoist::routing {
namespace {

std::string text(const send_parts& action)
{
    std::string sentence = "sent " + std::to_string(action.parts.size()) +
                           (action.parts.size() == 1 ? " part" : " parts") +
                           " of snapshot " + std::to_string(action.snapshot.value()) +
                           " to " + action.owner.str() + ":";
    for (const part_attempt& part : action.parts) {
        sentence += " shard " + std::to_string(part.shard) + " at " +
                    part.where.target.str() + ",";
    }
    sentence.pop_back();
    return sentence;
}

std::string text(const cancel_part& action)
{
    return "cancelled part " + std::to_string(action.part) + " at " + action.owner.str();
}

std::string text(const respond& action)
{
    if (!action.answered) {
        return std::string("refused, ") +
               (action.not_run ? "not run: " : "outcome unknown: ") + action.text;
    }
    std::string sentence = "responded with " + std::to_string(action.results.size()) +
                           " of " + std::to_string(action.total) +
                           " shards of snapshot " +
                           std::to_string(action.snapshot.value());
    if (!action.missing.empty()) {
        const missing_shard& first = action.missing.front();
        sentence += "; first missing: shard " + std::to_string(first.shard.value()) +
                    ", " + first.reason;
    }
    return sentence;
}

} // namespace

std::string describe(const scatter_action& action)
{
    return std::visit([](const auto& value) { return text(value); }, action);
}

} // namespace curranthoist::routing
