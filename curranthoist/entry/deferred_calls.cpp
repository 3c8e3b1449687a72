#include "curranthoist/entry/deferred_calls.hpp"

#include <utility>

namespace curranthoist::entry {

deferred_calls::deferred_calls(ev::loop_ref loop)
    : timer_(loop)
{
    timer_.set<deferred_calls, &deferred_calls::on_timer>(this);
}

void deferred_calls::post(std::function<void()> call)
{
    calls_.push_back(std::move(call));
    if (!timer_.is_active()) {
        timer_.start(0.0);
    }
}

void deferred_calls::on_timer(ev::timer& /*watcher*/, int /*events*/)
{
    // Calls that are posted meanwhile run in the next turn, so the loop stays responsive.
    std::deque<std::function<void()>> due = std::move(calls_);
    calls_.clear();
    for (const std::function<void()>& call : due) {
        call();
    }
}

} // namespace curranthoist::entry
