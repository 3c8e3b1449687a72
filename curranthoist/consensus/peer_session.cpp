#include "curranthoist/consensus/peer_session.hpp"

namespace curranthoist::consensus {

peer_session::peer_session(ev::loop_ref loop, int descriptor,
                           std::shared_ptr<wire::peer_account> account)
    : connection_(
          loop, descriptor,
          [this](const wire::envelope& message) {
              // A copy, because the handler may replace itself or destroy the session.
              const message_handler handler = on_message_;
              if (handler) {
                  handler(message);
              }
          },
          [this](const std::string& reason) {
              const close_handler handler = on_close_;
              if (handler) {
                  handler(reason);
              }
          },
          std::move(account))
{}

void peer_session::set_handlers(message_handler on_message, close_handler on_close)
{
    on_message_ = std::move(on_message);
    on_close_ = std::move(on_close);
}

} // namespace curranthoist::consensus
