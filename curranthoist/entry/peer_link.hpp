#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/logger.hpp"
#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/wire/peer_dialer.hpp"

#include <ev++.h>

#include <functional>
#include <string>

namespace curranthoist::entry {

// The connection to one other entry VM, over which this VM sends parts and orders. A link
// on which nothing arrives although something was sent is probed with a hello, which the
// other end answers; without that answer it has gone silent and is opened anew.
class peer_link
{
public:
    // Silence after which the link is probed, and after which it is given up.
    static constexpr base::duration probe_after{250};
    static constexpr base::duration silent_after{750};

    struct handlers
    {
        std::function<void(const wire::envelope&)> on_message;
        // The link became usable, or was lost with everything under way.
        std::function<void(bool usable)> on_change;
    };

    peer_link(ev::loop_ref loop, base::vm_id self, base::vm_id peer,
              const base::endpoint& address, handlers on);

    // Returns false if there is no connection; then no byte has left.
    template <class Message>
    bool send(Message message)
    {
        const bool sent = dialer_.send(std::move(message));
        if (sent) {
            note_sent();
        }
        return sent;
    }

    [[nodiscard]] const base::endpoint& address() const { return dialer_.remote(); }
    [[nodiscard]] bool usable() const { return dialer_.is_connected(); }

private:
    void note_sent();
    void on_connect();
    void on_message(const wire::envelope& message);
    void on_close(const std::string& reason);
    void on_timer(ev::timer& watcher, int events);
    void send_hello();

    base::vm_id self_;
    base::vm_id peer_;
    handlers on_;
    base::monotonic_clock clock_;
    base::logger log_{"relay"};
    // When the first message since the last received one was sent; 0 if there is none.
    base::instant waiting_since_;
    bool probed_ = false;
    ev::timer timer_;
    wire::peer_dialer dialer_;
};

} // namespace curranthoist::entry
