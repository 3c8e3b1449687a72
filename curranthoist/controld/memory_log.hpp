#pragma once

#include "curranthoist/base/identifiers.hpp"

#include <ev++.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <utility>
#include <vector>

namespace curranthoist::controld {

// A replicated log of one member without a disk, for tests of the control process: every
// command commits in the next turn of the loop, and nothing survives the process.
template <class Machine>
class memory_log
{
public:
    enum class outcome : std::uint8_t
    {
        applied,
        refused,
        unknown
    };
    using proposal_callback = std::function<void(outcome, base::log_index)>;
    using read_callback = std::function<void(bool)>;

    // The machine must outlive the log.
    memory_log(ev::loop_ref loop, Machine& machine)
        : machine_(machine)
        , timer_(loop)
    {
        timer_.set<memory_log, &memory_log::on_timer>(this);
    }

    void propose(std::vector<std::uint8_t> command, proposal_callback callback)
    {
        later([this, command = std::move(command), callback = std::move(callback)] {
            last_ = last_.next();
            machine_.apply(last_, command);
            callback(outcome::applied, last_);
        });
    }
    void confirm_read(read_callback callback)
    {
        later([callback = std::move(callback)] { callback(true); });
    }
    [[nodiscard]] bool is_leader() const { return true; }

private:
    void later(std::function<void()> action)
    {
        actions_.push_back(std::move(action));
        if (!timer_.is_active()) {
            timer_.start(0.0);
        }
    }
    void on_timer(ev::timer& /*watcher*/, int /*events*/)
    {
        std::deque<std::function<void()>> due;
        due.swap(actions_);
        for (const auto& action : due) {
            action();
        }
    }

    Machine& machine_;
    ev::timer timer_;
    base::log_index last_;
    std::deque<std::function<void()>> actions_;
};

} // namespace curranthoist::controld
