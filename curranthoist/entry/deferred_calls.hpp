#pragma once

#include <ev++.h>

#include <deque>
#include <functional>

namespace curranthoist::entry {

// Runs calls from the loop, after the present event and in their order. Tasks use it to
// answer each other, so that no answer arrives inside the call that asked for it.
class deferred_calls
{
public:
    explicit deferred_calls(ev::loop_ref loop);

    void post(std::function<void()> call);

private:
    void on_timer(ev::timer& watcher, int events);

    ev::timer timer_;
    std::deque<std::function<void()>> calls_;
};

} // namespace curranthoist::entry
