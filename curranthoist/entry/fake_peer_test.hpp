#pragma once

#include "curranthoist/wire/peer_connection.hpp"
#include "curranthoist/wire/peer_listener.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace curranthoist::entry {

// The other end of a session or a link, on the test's own loop. It keeps every connection
// open and calls `on_message` for each message; without an answer it is a silent peer.
class fake_peer
{
public:
    fake_peer(ev::loop_ref loop, const base::endpoint& local)
        : loop_(loop)
        , listener_(loop, local, [this](int descriptor) { accept(descriptor); })
    {}

    // Sends on the latest connection.
    template <class Message>
    void send(Message message)
    {
        connections_.back()->send(std::move(message));
    }

    std::function<void(const wire::envelope&)> on_message = [](const auto&) {};
    [[nodiscard]] std::size_t accepted() const { return connections_.size(); }

private:
    void accept(int descriptor)
    {
        connections_.push_back(std::make_unique<wire::peer_connection>(
            loop_, descriptor, [this](const wire::envelope& one) { on_message(one); },
            [](const std::string&) {}));
    }

    ev::loop_ref loop_;
    std::vector<std::unique_ptr<wire::peer_connection>> connections_;
    wire::peer_listener listener_;
};

// Runs the loop until the condition holds; false if it does not within the limit.
template <class Condition>
bool run_until(ev::dynamic_loop& loop, const Condition& holds)
{
    constexpr double limit_s = 10.0;
    constexpr double poll_s = 0.005;
    const double end = ev_time() + limit_s;
    ev::timer poll(loop);
    poll.set<ev::timer, &ev::timer::again>(&poll);
    poll.start(poll_s, poll_s);
    while (!holds()) {
        if (ev_time() > end) {
            return false;
        }
        loop.run(EVRUN_ONCE);
    }
    return true;
}

} // namespace curranthoist::entry
