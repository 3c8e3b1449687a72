#include "curranthoist/deployment/deployment_state.hpp"

#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/base/logger.hpp"
#include "curranthoist/deployment/rollout_codec.hpp"
#include "curranthoist/wire/packed_text.hpp"

#include <utility>

namespace curranthoist::deployment {

namespace {

// Commands and snapshots are frames of the wire protocol. Returns the verified message of
// a frame, or null if the frame is not valid.
const wire::envelope* verify_frame(std::span<const std::uint8_t> frame)
{
    return frame.size() <= wire::frame_prefix_bytes
               ? nullptr
               : wire::verified_envelope(frame.subspan(wire::frame_prefix_bytes));
}

std::vector<std::uint8_t> copy_bytes(const flatbuffers::Vector<std::uint8_t>* bytes)
{
    return bytes == nullptr ? std::vector<std::uint8_t>()
                            : std::vector<std::uint8_t>(bytes->begin(), bytes->end());
}

} // namespace

std::vector<std::uint8_t>
deployment_state::replace_configuration(std::uint64_t version, std::string_view document)
{
    wire::deployment_command_message command;
    command.order = wire::deployment_order::replace_configuration;
    command.version = version;
    command.document = wire::pack_text(document);
    return wire::encode_frame(std::move(command));
}

std::vector<std::uint8_t> deployment_state::change_evacuation(const base::zone_id& zone,
                                                              bool start)
{
    wire::deployment_command_message command;
    command.order = start ? wire::deployment_order::start_evacuation
                          : wire::deployment_order::end_evacuation;
    command.zone = zone.str();
    return wire::encode_frame(std::move(command));
}

std::vector<std::uint8_t> deployment_state::start_rollout(const rollout& order)
{
    wire::deployment_command_message command;
    command.order = wire::deployment_order::start_rollout;
    command.rollout = encode_rollout(order);
    return wire::encode_frame(std::move(command));
}

std::vector<std::uint8_t> deployment_state::end_rollout(const rollout& order,
                                                        rollout_phase end)
{
    wire::deployment_command_message command;
    command.order = wire::deployment_order::end_rollout;
    command.rollout = encode_rollout(order);
    command.rollout->phase = encode_phase(end);
    return wire::encode_frame(std::move(command));
}

void deployment_state::apply(base::log_index index, std::span<const std::uint8_t> bytes)
{
    const wire::envelope* frame = verify_frame(bytes);
    const wire::deployment_command* command =
        frame == nullptr ? nullptr : frame->body_as_deployment_command();
    if (command == nullptr) {
        base::logger("deployment")
            .error("event=command_unreadable index=" + std::to_string(index.value()));
        return;
    }
    if (!execute(*command)) {
        return;
    }
    changed_at_ = index;
    if (on_change_) {
        on_change_();
    }
}

bool deployment_state::execute(const wire::deployment_command& command)
{
    const base::zone_id zone(command.zone() == nullptr ? "" : command.zone()->str());
    switch (command.order()) {
    case wire::deployment_order::replace_configuration:
        if (command.version() <= version_) {
            return false;
        }
        version_ = command.version();
        packed_document_ = copy_bytes(command.document());
        return true;
    case wire::deployment_order::start_evacuation:
        evacuated_.insert(zone);
        return true;
    case wire::deployment_order::end_evacuation:
        evacuated_.erase(zone);
        return true;
    case wire::deployment_order::start_rollout:
        return command.rollout() != nullptr && start(decode_rollout(*command.rollout()));
    case wire::deployment_order::end_rollout:
        return command.rollout() != nullptr && end(decode_rollout(*command.rollout()));
    }
    return false;
}

bool deployment_state::start(rollout order)
{
    if (order.service.str().empty() || order.target_version.empty()) {
        return false;
    }
    order.phase = rollout_phase::running;
    order.excluded_versions.clear();
    const auto known = rollouts_.find(order.service);
    if (known != rollouts_.end()) {
        if (known->second.phase == rollout_phase::running ||
            known->second.target_version == order.target_version) {
            return false;
        }
        order.excluded_versions = std::move(known->second.excluded_versions);
        order.excluded_versions.erase(order.target_version);
    }
    const base::service_id service = order.service;
    rollouts_.insert_or_assign(service, std::move(order));
    return true;
}

bool deployment_state::end(const rollout& order)
{
    const auto known = rollouts_.find(order.service);
    if (known == rollouts_.end() || known->second.phase != rollout_phase::running ||
        !known->second.same_order(order) || order.phase == rollout_phase::running) {
        return false;
    }
    rollout& ended = known->second;
    ended.phase = order.phase;
    const std::string& excluded = ended.phase == rollout_phase::completed
                                      ? ended.base_version
                                      : ended.target_version;
    ended.excluded_versions.insert(excluded);
    return true;
}

std::string deployment_state::document() const
{
    auto text = wire::unpack_text(packed_document_);
    if (!text && version_ > 0) {
        base::logger("deployment")
            .error("event=document_unreadable version=" + std::to_string(version_));
    }
    return text.value_or("");
}

wire::deployment_snapshot_message deployment_state::message() const
{
    wire::deployment_snapshot_message result;
    result.index = changed_at_.value();
    result.version = version_;
    result.document = packed_document_;
    for (const base::zone_id& zone : evacuated_) {
        result.evacuated_zones.push_back(zone.str());
    }
    for (const auto& [service, one] : rollouts_) {
        result.rollouts.push_back(encode_rollout(one));
    }
    return result;
}

std::vector<std::uint8_t> deployment_state::snapshot() const
{
    return wire::encode_frame(message());
}

void deployment_state::restore(std::span<const std::uint8_t> bytes)
{
    const wire::envelope* frame = verify_frame(bytes);
    const wire::deployment_snapshot* stored =
        frame == nullptr ? nullptr : frame->body_as_deployment_snapshot();
    if (stored == nullptr) {
        base::findings found;
        found.add("log snapshot", "contains no valid deployment_snapshot message");
        throw base::findings_error(found);
    }
    changed_at_ = base::log_index(stored->index());
    version_ = stored->version();
    packed_document_ = copy_bytes(stored->document());
    evacuated_.clear();
    if (stored->evacuated_zones() != nullptr) {
        for (const auto* zone : *stored->evacuated_zones()) {
            evacuated_.insert(base::zone_id(zone->str()));
        }
    }
    rollouts_.clear();
    for (rollout& one : decode_rollouts(*stored)) {
        const base::service_id service = one.service;
        rollouts_.emplace(service, std::move(one));
    }
    if (on_change_) {
        on_change_();
    }
}

} // namespace curranthoist::deployment
