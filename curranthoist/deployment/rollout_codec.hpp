#pragma once

#include "curranthoist/deployment/rollout.hpp"
#include "curranthoist/wire/frame_codec.hpp"

#include <memory>
#include <vector>

namespace curranthoist::deployment {

// Convert between roll-outs and their form in messages.
std::unique_ptr<wire::stored_rollout_message> encode_rollout(const rollout& value);
wire::rollout_phase encode_phase(rollout_phase phase);
rollout decode_rollout(const wire::stored_rollout& stored);
std::vector<rollout> decode_rollouts(const wire::deployment_snapshot& snapshot);

} // namespace curranthoist::deployment
