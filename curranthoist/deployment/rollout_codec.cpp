#include "curranthoist/deployment/rollout_codec.hpp"

namespace curranthoist::deployment {

namespace {

std::string text(const flatbuffers::String* value)
{
    return value == nullptr ? std::string() : value->str();
}

rollout_phase decode_phase(wire::rollout_phase phase)
{
    switch (phase) {
    case wire::rollout_phase::running:
        return rollout_phase::running;
    case wire::rollout_phase::completed:
        return rollout_phase::completed;
    case wire::rollout_phase::rolled_back:
        break;
    }
    // A phase that this program doesn't know sends nothing to the ordered version.
    return rollout_phase::rolled_back;
}

} // namespace

wire::rollout_phase encode_phase(rollout_phase phase)
{
    switch (phase) {
    case rollout_phase::running:
        return wire::rollout_phase::running;
    case rollout_phase::completed:
        return wire::rollout_phase::completed;
    case rollout_phase::rolled_back:
        break;
    }
    return wire::rollout_phase::rolled_back;
}

std::unique_ptr<wire::stored_rollout_message> encode_rollout(const rollout& value)
{
    auto result = std::make_unique<wire::stored_rollout_message>();
    result->service = value.service.str();
    result->target_version = value.target_version;
    result->base_version = value.base_version;
    result->duration_ms = static_cast<std::uint64_t>(value.duration.count());
    result->ordered_at_ms = static_cast<std::uint64_t>(value.ordered_at.count());
    result->phase = encode_phase(value.phase);
    result->excluded_versions.assign(value.excluded_versions.begin(),
                                     value.excluded_versions.end());
    return result;
}

rollout decode_rollout(const wire::stored_rollout& stored)
{
    rollout result;
    result.service = base::service_id(text(stored.service()));
    result.target_version = text(stored.target_version());
    result.base_version = text(stored.base_version());
    result.duration = base::duration(static_cast<std::int64_t>(stored.duration_ms()));
    result.ordered_at = base::instant(static_cast<std::int64_t>(stored.ordered_at_ms()));
    result.phase = decode_phase(stored.phase());
    if (stored.excluded_versions() != nullptr) {
        for (const auto* version : *stored.excluded_versions()) {
            result.excluded_versions.insert(version->str());
        }
    }
    return result;
}

std::vector<rollout> decode_rollouts(const wire::deployment_snapshot& snapshot)
{
    std::vector<rollout> result;
    if (snapshot.rollouts() != nullptr) {
        for (const wire::stored_rollout* one : *snapshot.rollouts()) {
            result.push_back(decode_rollout(*one));
        }
    }
    return result;
}

} // namespace curranthoist::deployment
