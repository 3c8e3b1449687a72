#pragma once

#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/controld/entry_session.hpp"
#include "curranthoist/wire/peer_listener.hpp"

#include <ev++.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace curranthoist::controld {

// Accepts entry VMs' sessions where no replicated log does it: sends this side's hello
// and hands the session over when the other side's hello has arrived.
class entry_acceptor
{
public:
    using entry_handler =
        std::function<void(std::unique_ptr<entry_session>, const wire::hello&)>;

    entry_acceptor(ev::loop_ref loop, const base::endpoint& local, std::string name,
                   entry_handler on_entry)
        : loop_(loop)
        , name_(std::move(name))
        , on_entry_(std::move(on_entry))
        , listener_(loop, local, [this](int descriptor) { on_accept(descriptor); })
    {}

private:
    void on_accept(int descriptor)
    {
        const std::uint64_t number = ++last_;
        auto session = std::make_unique<entry_session>(loop_, descriptor);
        session->set_handlers(
            [this, number](const wire::envelope& message) { on_first(number, message); },
            [this, number](const std::string& /*reason*/) { waiting_.erase(number); });
        wire::hello_message hello;
        hello.protocol = wire::protocol_version;
        hello.sender = wire::role::control;
        hello.id = name_;
        hello.incarnation = 1;
        session->send_frame(wire::encode_frame(std::move(hello)));
        waiting_[number] = std::move(session);
    }

    void on_first(std::uint64_t number, const wire::envelope& message)
    {
        std::unique_ptr<entry_session> session = std::move(waiting_.at(number));
        waiting_.erase(number);
        if (message.body_type() == wire::message::hello) {
            on_entry_(std::move(session), *message.body_as_hello());
        }
    }

    ev::loop_ref loop_;
    std::string name_;
    entry_handler on_entry_;
    std::uint64_t last_ = 0;
    std::map<std::uint64_t, std::unique_ptr<entry_session>> waiting_;
    wire::peer_listener listener_;
};

} // namespace curranthoist::controld
