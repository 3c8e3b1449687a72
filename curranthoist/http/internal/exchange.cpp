#include "curranthoist/http/internal/exchange.hpp"

#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/http/caller_server.hpp"

namespace curranthoist::http::internal {

bool exchange::respond(caller_response answer)
{
    if (phase != exchange_phase::waiting || server_ == nullptr) {
        return false;
    }
    response = std::move(answer);
    last_progress = base::monotonic_clock().now();
    phase = exchange_phase::answered;
    on_close = nullptr;
    if (suspended) {
        server_->resume(*this);
    }
    return true;
}

void exchange::drop()
{
    if (phase != exchange_phase::waiting || server_ == nullptr) {
        return;
    }
    phase = exchange_phase::closed;
    on_close = nullptr;
    if (suspended) {
        server_->resume(*this);
    }
}

} // namespace curranthoist::http::internal
