#include "curranthoist/http/responder.hpp"

#include "curranthoist/http/internal/exchange_handle.hpp"

namespace curranthoist::http {

responder::responder(std::shared_ptr<internal::exchange> exchange)
    : handle_(std::make_shared<internal::exchange_handle>(std::move(exchange)))
{}

bool responder::respond(caller_response response) const
{
    return handle_->shared().respond(std::move(response));
}

bool responder::is_open() const
{
    return handle_->shared().phase == internal::exchange_phase::waiting;
}

void responder::on_close(std::function<void()> handler) const
{
    if (is_open()) {
        handle_->shared().on_close = std::move(handler);
    }
}

void responder::drop() const
{
    handle_->shared().drop();
}

} // namespace curranthoist::http
