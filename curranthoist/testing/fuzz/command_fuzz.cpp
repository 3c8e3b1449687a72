#include "curranthoist/control/cluster_state.hpp"
#include "curranthoist/testing/fuzz/chunks.hpp"
#include "curranthoist/testing/fuzz/small_deployment.hpp"

#include <cstdint>
#include <cstdlib>

// Committed commands: damaged ones change nothing, and every state that commands can
// build survives a snapshot unchanged.

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace curranthoist;
    control::cluster_state state;
    std::uint64_t index = 0;
    for (const auto& command : testing::fuzz::small_deployment()) {
        state.apply(base::log_index(++index), command);
    }
    for (const auto& command : testing::fuzz::split_chunks({data, size})) {
        state.apply(base::log_index(++index), command);
    }
    const auto bytes = state.snapshot();
    if (control::cluster_state::restore(bytes).snapshot() != bytes) {
        std::abort();
    }
    return 0;
}
