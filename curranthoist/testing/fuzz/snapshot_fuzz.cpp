#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/control/cluster_state.hpp"
#include "curranthoist/testing/fuzz/small_deployment.hpp"

#include <cstdint>
#include <vector>

// A damaged state snapshot is refused with a finding. One that is accepted must be able
// to take commands.

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace curranthoist;
    const std::vector<std::uint8_t> bytes(data, data + size);
    try {
        control::cluster_state state = control::cluster_state::restore(bytes);
        std::uint64_t index = state.applied_index().value();
        for (const auto& command : testing::fuzz::small_deployment()) {
            state.apply(base::log_index(++index), command);
        }
        static_cast<void>(state.decisions());
        static_cast<void>(control::cluster_state::restore(state.snapshot()));
    }
    catch (const base::findings_error&) {
        // The snapshot is refused.
    }
    return 0;
}
