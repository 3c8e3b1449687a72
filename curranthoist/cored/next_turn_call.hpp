#pragma once

#include <ev++.h>

#include <functional>
#include <utility>

namespace curranthoist::cored {

// Makes a call in the next turn of the loop, once, however often it was asked for until
// then.
//
// Load pattern: a member that starts applies its whole log in one turn. Whoever follows
// each single change would tell hundreds of fronts a state that has long been replaced.
class next_turn_call
{
public:
    // The loop must outlive it.
    next_turn_call(ev::loop_ref loop, std::function<void()> call)
        : call_(std::move(call))
        , timer_(loop)
    {
        timer_.set<next_turn_call, &next_turn_call::on_timer>(this);
    }
    next_turn_call(const next_turn_call&) = delete;
    next_turn_call& operator=(const next_turn_call&) = delete;

    void request()
    {
        if (!timer_.is_active()) {
            timer_.start(0.0);
        }
    }

private:
    void on_timer(ev::timer& /*watcher*/, int /*events*/) { call_(); }

    std::function<void()> call_;
    ev::timer timer_;
};

} // namespace curranthoist::cored
