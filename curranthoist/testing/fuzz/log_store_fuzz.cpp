#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/storage/fault_disk_test.hpp"
#include "curranthoist/storage/log_store.hpp"
#include "curranthoist/testing/fuzz/chunks.hpp"

#include <array>
#include <cstdint>
#include <cstdlib>
#include <string>

// Opens a data folder of damaged files. Each chunk is one file: the first byte names it
// and says whether the bytes get a right checksum, so that what is behind the checksum is
// reached. A folder that opens must hold entries without gaps and take new ones.

namespace curranthoist::testing::fuzz {

namespace {

using disk = storage::testing_support::fault_disk;
namespace internal = storage::internal;

std::vector<std::uint8_t> sealed(unsigned name, std::span<const std::uint8_t> bytes)
{
    using internal::file_kind;
    constexpr std::array kinds{file_kind::identity, file_kind::vote, file_kind::snapshot};
    if (name < kinds.size()) {
        return internal::seal_file(kinds.at(name), bytes);
    }
    const std::uint64_t segment = name - kinds.size() + 1;
    std::vector<std::uint8_t> result = internal::encode_segment_header(segment);
    if (const auto entries = internal::decode_entries(bytes)) {
        const auto record = internal::encode_record(segment, result.size(), *entries);
        result.insert(result.end(), record.begin(), record.end());
    }
    return result;
}

void add_file(disk& folder, std::span<const std::uint8_t> chunk)
{
    static const std::array<std::string, 5> names{
        internal::identity_name, internal::vote_name, internal::snapshot_name,
        "log-0000000000000001", "log-0000000000000002"};
    if (chunk.empty()) {
        return;
    }
    const unsigned name = chunk[0] % names.size();
    const bool seal = chunk[0] / names.size() % 2 == 0;
    const auto bytes = chunk.subspan(1);
    const auto file = folder.create(names.at(name));
    file->bytes = seal ? sealed(name, bytes)
                       : std::vector<std::uint8_t>(bytes.begin(), bytes.end());
}

void check_and_append(storage::log_store<disk>& store)
{
    const storage::recovered_log log = store.take_recovered();
    base::log_index last = log.snapshot ? log.snapshot->index : base::log_index();
    for (const storage::log_entry& entry : log.entries) {
        if (entry.index != last.next()) {
            std::abort();
        }
        last = entry.index;
    }
    store.append(std::array{storage::log_entry{
        base::term(1), last.next(), storage::entry_kind::command, {1}}});
}

} // namespace

} // namespace curranthoist::testing::fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace curranthoist;
    using namespace curranthoist::testing::fuzz;
    disk folder;
    for (const auto& chunk : split_chunks({data, size})) {
        add_file(folder, chunk);
    }
    try {
        storage::log_store<disk> store(folder);
        check_and_append(store);
    }
    catch (const base::findings_error&) {
        // The folder is refused.
    }
    return 0;
}
