#include "curranthoist/control/commands.hpp"

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

std::unique_ptr<encoded::command_message>
decode_command(std::span<const std::uint8_t> bytes)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!encoded::VerifyfileBuffer(verifier)) {
        return nullptr;
    }
    const encoded::command* command =
        encoded::Getfile(bytes.data())->content_as_command();
    if (command == nullptr || command->body() == nullptr) {
        return nullptr;
    }
    return std::unique_ptr<encoded::command_message>(command->UnPack());
}

} // namespace curranthoist::control
