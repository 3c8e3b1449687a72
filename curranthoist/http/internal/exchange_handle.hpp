#pragma once

#include "curranthoist/http/internal/exchange.hpp"

#include <memory>
#include <utility>

namespace curranthoist::http::internal {

// Closes the connection of an exchange that no responder can answer any more.
class exchange_handle
{
public:
    explicit exchange_handle(std::shared_ptr<exchange> shared)
        : exchange_(std::move(shared))
    {}
    ~exchange_handle() { exchange_->drop(); }
    exchange_handle(const exchange_handle&) = delete;
    exchange_handle& operator=(const exchange_handle&) = delete;

    [[nodiscard]] exchange& shared() const { return *exchange_; }

private:
    std::shared_ptr<exchange> exchange_;
};

} // namespace curranthoist::http::internal
