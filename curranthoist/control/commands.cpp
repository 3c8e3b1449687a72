#include "curranthoist/control/commands.hpp"

#include <algorithm>

namespace curranthoist::control {

namespace internal {

std::vector<std::uint8_t> pack_command(const encoded::command_message& command)
{
    encoded::file_message file;
    file.content.Set(encoded::command_message(command));
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(encoded::file::Pack(builder, &file));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

} // namespace internal

namespace {

bool is_known(encoded::assignment_step step)
{
    return step <= encoded::assignment_step::MAX;
}

// Whether every enumerator of the command has a meaning. An unknown kind of intent is
// refused with a finding when the intent is checked.
bool has_known_enumerators(const encoded::command_message& command)
{
    if (const auto* record = command.body.Asrecord_claim()) {
        return record->result <= encoded::claim_status::MAX;
    }
    if (const auto* all = command.body.Aschange_assignments()) {
        return std::all_of(all->changes.begin(), all->changes.end(),
                           [](const auto& change) { return is_known(change->step); });
    }
    return true;
}

} // namespace

std::unique_ptr<encoded::command_message>
decode_command(std::span<const std::uint8_t> bytes)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!encoded::VerifyfileBuffer(verifier)) {
        return nullptr;
    }
    const encoded::command* command =
        encoded::Getfile(bytes.data())->content_as_command();
    if (command == nullptr || command->body() == nullptr ||
        command->wall_time_ms() > max_wall_time_ms) {
        return nullptr;
    }
    std::unique_ptr<encoded::command_message> result(command->UnPack());
    return has_known_enumerators(*result) ? std::move(result) : nullptr;
}

} // namespace curranthoist::control
