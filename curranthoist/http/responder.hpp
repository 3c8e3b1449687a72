#pragma once

#include "curranthoist/http/caller_response.hpp"

#include <functional>
#include <memory>

namespace curranthoist::http {

namespace internal {
class exchange;
class exchange_handle;
} // namespace internal

// The right to answer one request, now or later, once. Copies share that right. If the
// last copy goes away without an answer, the connection is closed. It may outlive the
// server; respond() does nothing then.
//
//     responder answer = ...;              // kept until the work is done
//     answer.on_close([this] { cancel(); });
//     answer.respond({.status = 200, .body = "{}"});
class responder
{
public:
    explicit responder(std::shared_ptr<internal::exchange> exchange);

    // Sends the response. Returns false, and does nothing, if the request has been
    // answered already or the caller has closed the connection.
    bool respond(caller_response response) const;
    // True until the request is answered or the caller closes the connection.
    [[nodiscard]] bool is_open() const;
    // Sets the handler that is called, once, if the caller closes the connection before
    // the answer. It is dropped with the answer.
    void on_close(std::function<void()> handler) const;
    // Closes the connection without an answer.
    void drop() const;

private:
    std::shared_ptr<internal::exchange_handle> handle_;
};

} // namespace curranthoist::http
