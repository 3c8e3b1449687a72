#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/http/caller_request.hpp"
#include "curranthoist/http/responder.hpp"

#include <ev++.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>

namespace curranthoist::testing {

// One request at a stand-in target, from its arrival to its answer.
struct target_run
{
    target_run(ev::loop_ref loop, http::caller_request received, http::responder to)
        : request(std::move(received))
        , answer(std::move(to))
        , timer(loop)
    {
        timer.set<target_run, &target_run::on_timer>(this);
    }

    // Calls `step` after that time; it may destroy the run.
    void after(double ms, std::function<void()> step)
    {
        constexpr double milliseconds_per_second = 1000.0;
        next = std::move(step);
        timer.start(std::max(0.0, ms) / milliseconds_per_second);
    }
    void on_timer(ev::timer& /*watcher*/, int /*events*/)
    {
        const std::function<void()> step = std::move(next);
        step();
    }

    http::caller_request request;
    http::responder answer;
    ev::timer timer;
    std::function<void()> next;
    base::instant arrived;
    // Its number in the journal while it holds a slot, otherwise 0.
    std::uint64_t journal_run = 0;
    http::caller_response response;
};

} // namespace curranthoist::testing
