#include "curranthoist/deployment/deployment_state.hpp"

#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/base/logger.hpp"
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
    if (command->order() == wire::deployment_order::replace_configuration) {
        if (command->version() <= version_) {
            return;
        }
        version_ = command->version();
        packed_document_ = copy_bytes(command->document());
    }
    else {
        const base::zone_id zone(command->zone() == nullptr ? ""
                                                            : command->zone()->str());
        if (command->order() == wire::deployment_order::start_evacuation) {
            evacuated_.insert(zone);
        }
        else {
            evacuated_.erase(zone);
        }
    }
    changed_at_ = index;
    if (on_change_) {
        on_change_();
    }
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
    if (on_change_) {
        on_change_();
    }
}

} // namespace curranthoist::deployment
