#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace curranthoist::http {

// Content of up to this size is small.
inline constexpr std::size_t small_content_bytes = std::size_t{16} * 1024;

// Limits the bytes that one kind of content holds together in a process: bodies of
// callers' requests, or responses until their callers have them. Load pattern: many
// callers or targets at once send what is legal for one of them, or leave unread what
// they asked for.
//
// Each piece of content has a reservation and grows it before it takes memory. What does
// not fit may make the owner give up other content, which on_shortage() chooses. A
// reserve beside the capacity takes small content only, so that those who send little are
// served while others use up the account.
//
//     auto account = std::make_shared<memory_account>(20'000'000);
//     memory_account::reservation held(account);
//     if (!held.grow(body.size() + more.size())) { ... }   // refuse the rest
class memory_account
{
public:
    // Gives up some content; returns false if nothing can be given up. It may end
    // reservations, but not the one that grows.
    using shortage_handler = std::function<bool()>;

    explicit memory_account(std::size_t capacity, std::size_t small_reserve = 0)
        : capacity_(capacity)
        , small_reserve_(small_reserve)
    {}

    void on_shortage(shortage_handler handler) { shortage_ = std::move(handler); }

    // The bytes of one piece of content; they are free again when it ends.
    class reservation
    {
    public:
        explicit reservation(std::shared_ptr<memory_account> account)
            : account_(std::move(account))
        {}
        ~reservation() { account_->used_ -= bytes_; }
        reservation(const reservation&) = delete;
        reservation& operator=(const reservation&) = delete;

        // Records that the content holds `bytes`, unless it holds more already. Returns
        // false, with nothing changed, if that exceeds the limit.
        bool grow(std::size_t bytes)
        {
            if (bytes <= bytes_) {
                return true;
            }
            const std::size_t more = bytes - bytes_;
            const std::size_t limit =
                account_->capacity_ +
                (bytes <= small_content_bytes ? account_->small_reserve_ : 0);
            while (account_->used_ + more > limit) {
                if (more > limit || !account_->shortage_ || !account_->shortage_()) {
                    ++account_->refusals_;
                    return false;
                }
            }
            account_->used_ += more;
            bytes_ = bytes;
            return true;
        }
        [[nodiscard]] std::size_t bytes() const { return bytes_; }

    private:
        std::shared_ptr<memory_account> account_;
        std::size_t bytes_ = 0;
    };

    [[nodiscard]] std::size_t used() const { return used_; }
    [[nodiscard]] std::size_t capacity() const { return capacity_; }
    // How often something was refused for want of memory.
    [[nodiscard]] std::size_t refusals() const { return refusals_; }

private:
    std::size_t capacity_;
    std::size_t small_reserve_;
    std::size_t used_ = 0;
    std::size_t refusals_ = 0;
    shortage_handler shortage_;
};

} // namespace curranthoist::http
