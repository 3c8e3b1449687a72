#pragma once

#include "curranthoist/control/cluster_state.hpp"

#include <cstdint>
#include <functional>
#include <span>
#include <utility>
#include <vector>

namespace curranthoist::controld {

// The replicated state as the log's state machine. Tells a handler what each applied
// command did, and when the state was replaced.
class applied_state
{
public:
    using applied_handler = std::function<void(const control::apply_result&)>;
    using replaced_handler = std::function<void()>;

    void set_handlers(applied_handler on_applied, replaced_handler on_replaced)
    {
        on_applied_ = std::move(on_applied);
        on_replaced_ = std::move(on_replaced);
    }

    void apply(base::log_index index, std::span<const std::uint8_t> command)
    {
        const control::apply_result result = state_.apply(index, command);
        if (on_applied_) {
            on_applied_(result);
        }
    }
    [[nodiscard]] std::vector<std::uint8_t> snapshot() const { return state_.snapshot(); }
    void restore(std::span<const std::uint8_t> bytes)
    {
        state_ = control::cluster_state::restore(bytes);
        if (on_replaced_) {
            on_replaced_();
        }
    }
    [[nodiscard]] const control::cluster_state& state() const { return state_; }

private:
    control::cluster_state state_;
    applied_handler on_applied_;
    replaced_handler on_replaced_;
};

} // namespace curranthoist::controld
