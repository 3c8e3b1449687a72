#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/control/cluster_state.hpp"
#include "curranthoist/control/commands.hpp"
#include "curranthoist/control/configuration_codec.hpp"
#include "curranthoist/wire/generated/messages_generated.h"

#include <memory>
#include <utility>

namespace curranthoist::control {

namespace {

[[noreturn]] void refuse(const std::string& what)
{
    base::findings found;
    found.add("state snapshot", what);
    throw base::findings_error(found);
}

base::instant instant_of(std::uint64_t milliseconds)
{
    if (milliseconds > max_wall_time_ms) {
        refuse("the time " + std::to_string(milliseconds) + " is out of range");
    }
    return base::instant(static_cast<std::int64_t>(milliseconds));
}

std::uint64_t count_of(base::instant at)
{
    return static_cast<std::uint64_t>(at.count());
}

std::unique_ptr<encoded::kept_decision_message> pack(const decision& value)
{
    auto kept = std::make_unique<encoded::kept_decision_message>();
    kept->author = value.author;
    kept->time_ms = count_of(value.time);
    kept->intent_id = value.intent.str();
    kept->revision = value.number.value();
    kept->changes = value.changes;
    return kept;
}

decision unpack(const encoded::kept_decision_message& kept)
{
    return decision{kept.author, instant_of(kept.time_ms),
                    base::intent_id(kept.intent_id), base::revision(kept.revision),
                    kept.changes};
}

std::unique_ptr<encoded::kept_claim_message> pack(const base::request_id& id,
                                                  const claim_record& value)
{
    auto kept = std::make_unique<encoded::kept_claim_message>();
    kept->request_id = id.str();
    kept->vm = value.vm.str();
    kept->incarnation = value.run.value();
    kept->attempt = value.attempt;
    kept->status = value.status;
    kept->body = value.body;
    kept->body_bytes = value.body_bytes;
    return kept;
}

claim_record unpack(const encoded::kept_claim_message& kept)
{
    if (kept.status > encoded::claim_status::MAX) {
        refuse("claim " + kept.request_id + " has an unknown status");
    }
    return claim_record{base::vm_id(kept.vm),
                        base::incarnation(kept.incarnation),
                        kept.attempt,
                        kept.status,
                        kept.body,
                        kept.body_bytes};
}

std::unique_ptr<encoded::kept_outcome_message> pack(const base::intent_id& id,
                                                    const intent_outcome& value)
{
    auto kept = std::make_unique<encoded::kept_outcome_message>();
    kept->intent_id = id.str();
    kept->digest = value.digest;
    kept->time_ms = count_of(value.time);
    kept->revision = value.number.value();
    kept->changes = value.changes;
    return kept;
}

std::vector<std::uint8_t> pack(const configuration& value)
{
    const wire::configuration_message message = to_message(value);
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::configuration::Pack(builder, &message));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

configuration unpack_configuration(const std::vector<std::uint8_t>& bytes)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!verifier.VerifyBuffer<wire::configuration>(nullptr)) {
        refuse("the configuration fails verification");
    }
    const std::unique_ptr<wire::configuration_message> message(
        flatbuffers::GetRoot<wire::configuration>(bytes.data())->UnPack());
    return from_message(*message);
}

std::unique_ptr<encoded::state_snapshot_message>
read_snapshot(std::span<const std::uint8_t> bytes)
{
    // Tables nested in a large state exceed the verifier's default of 1,000,000.
    constexpr flatbuffers::uoffset_t max_tables = 10'000'000;
    constexpr flatbuffers::uoffset_t max_depth = 64;
    flatbuffers::Verifier verifier(bytes.data(), bytes.size(), max_depth, max_tables);
    if (!encoded::VerifyfileBuffer(verifier)) {
        refuse("the bytes fail verification");
    }
    const encoded::state_snapshot* content =
        encoded::Getfile(bytes.data())->content_as_state_snapshot();
    if (content == nullptr) {
        refuse("the bytes hold no snapshot");
    }
    return std::unique_ptr<encoded::state_snapshot_message>(content->UnPack());
}

} // namespace

std::vector<std::uint8_t> cluster_state::snapshot() const
{
    encoded::state_snapshot_message content;
    content.configuration = pack(configuration_);
    content.operator_revision = operator_revision_.value();
    content.time_ms = count_of(time_);
    content.applied_index = applied_index_.value();
    content.last_fence = last_fence_.value();
    claims_.for_each([&](const base::request_id& id, const claim_record& value) {
        content.claims.push_back(pack(id, value));
    });
    for (const decision& one : operator_decisions_) {
        content.operator_decisions.push_back(pack(one));
    }
    for (const decision& one : leader_decisions_) {
        content.leader_decisions.push_back(pack(one));
    }
    for (const base::intent_id& id : outcome_order_) {
        content.outcomes.push_back(pack(id, outcomes_.at(id)));
    }
    for (const auto& [vm, open] : open_processes_) {
        auto kept = std::make_unique<encoded::kept_incarnation_message>();
        kept->vm = vm.str();
        kept->incarnation = open.run.value();
        kept->opened_at = open.opened_at.value();
        content.incarnations.push_back(std::move(kept));
    }
    if (wanted_replacement_) {
        content.old_member = wanted_replacement_->old_member;
        content.new_member = wanted_replacement_->new_member;
        content.new_member_address = wanted_replacement_->address;
    }
    encoded::file_message file;
    file.content.Set(std::move(content));
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(encoded::file::Pack(builder, &file));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

cluster_state cluster_state::restore(std::span<const std::uint8_t> bytes)
{
    const auto content = read_snapshot(bytes);
    cluster_state state;
    state.configuration_ = unpack_configuration(content->configuration);
    state.operator_revision_ = base::revision(content->operator_revision);
    state.time_ = instant_of(content->time_ms);
    state.applied_index_ = base::log_index(content->applied_index);
    state.last_fence_ = base::fence(content->last_fence);
    for (const auto& kept : content->claims) {
        if (!state.claims_.restore(base::request_id(kept->request_id), unpack(*kept))) {
            refuse("claim " + kept->request_id + " has no time in its id or is repeated");
        }
    }
    for (const auto& kept : content->operator_decisions) {
        state.operator_decisions_.push_back(unpack(*kept));
    }
    for (const auto& kept : content->leader_decisions) {
        state.leader_decisions_.push_back(unpack(*kept));
    }
    for (const auto& kept : content->outcomes) {
        const base::intent_id id(kept->intent_id);
        const bool added =
            state.outcomes_
                .emplace(id,
                         intent_outcome{kept->digest, instant_of(kept->time_ms),
                                        base::revision(kept->revision), kept->changes})
                .second;
        if (!added) {
            refuse("intent " + kept->intent_id + " is repeated");
        }
        state.outcome_order_.push_back(id);
    }
    for (const auto& kept : content->incarnations) {
        state.open_processes_[base::vm_id(kept->vm)] = open_process{
            base::incarnation(kept->incarnation), base::log_index(kept->opened_at)};
    }
    if (!content->old_member.empty()) {
        state.wanted_replacement_ = member_replacement{
            content->old_member, content->new_member, content->new_member_address};
    }
    return state;
}

} // namespace curranthoist::control
