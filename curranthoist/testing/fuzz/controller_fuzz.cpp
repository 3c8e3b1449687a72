#include "curranthoist/control/cluster_state.hpp"
#include "curranthoist/control/controller.hpp"
#include "curranthoist/testing/fuzz/chunks.hpp"
#include "curranthoist/testing/fuzz/small_deployment.hpp"

#include <cstdint>
#include <span>

// Frames of entry VMs into the control leader, whose commands are committed at once. An
// absent text, an empty list or an unknown identifier in a message must do no harm.

namespace curranthoist::testing::fuzz {

namespace {

class leader
{
public:
    leader()
    {
        for (const auto& command : small_deployment()) {
            state_.apply(base::log_index(++index_), command);
        }
        controller_.on_leadership_gained(now_);
        settle();
    }
    void on_frame(std::span<const std::uint8_t> frame)
    {
        const wire::envelope* message = wire::verified_envelope(frame);
        if (message == nullptr) {
            return;
        }
        if (const wire::hello* hello = message->body_as_hello()) {
            // control_service lets no other hello through.
            if (hello->id() != nullptr && hello->id()->size() > 0 &&
                hello->incarnation() != 0) {
                controller_.on_session_opened(++session_, *hello, now_);
            }
        }
        else if (!controller_.on_message(session_, *message, now_)) {
            controller_.on_session_closed(session_);
        }
        pass_time();
        settle();
    }

private:
    void pass_time()
    {
        constexpr base::duration step{100};
        now_.monotonic = now_.monotonic + step;
        now_.wall = now_.wall + step;
        controller_.on_time(now_);
    }
    // Commits what the controller proposes, for a bounded number of rounds.
    void settle()
    {
        constexpr int max_rounds = 8;
        for (int i = 0; i < max_rounds; ++i) {
            const control::controller_output output = controller_.take_output();
            for (const auto& command : output.proposals) {
                const auto result = state_.apply(base::log_index(++index_), command);
                controller_.on_applied(result, now_);
            }
            if (output.confirm_read) {
                controller_.on_read_confirmed(*output.confirm_read, true, now_);
            }
            if (output.proposals.empty() && !output.confirm_read) {
                return;
            }
        }
    }

    control::event_time now_{base::instant(10'000), base::instant(deployment_time_ms)};
    control::cluster_state state_;
    control::controller controller_{state_};
    control::session_number session_ = 0;
    std::uint64_t index_ = 0;
};

} // namespace

} // namespace curranthoist::testing::fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    curranthoist::testing::fuzz::leader leader;
    for (const auto& frame : curranthoist::testing::fuzz::split_chunks({data, size})) {
        leader.on_frame(frame);
    }
    return 0;
}
