#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace curranthoist::http {

// Limits the bytes that the responses of all of a process's targets hold together. Load
// pattern: many targets at once send bodies that are long or have no end, each within the
// limit of one call.
//
// The first bytes of each response are not counted, so that the responses of sound
// targets are accepted while others use up the limit. Buffers grow by doubling and may
// take twice what they hold.
//
//     auto memory = std::make_shared<response_memory>(20'000'000);
//     response_memory::reservation held(memory);
//     if (!held.grow(body.size() + more.size())) { ... }   // refuse the rest
class response_memory
{
public:
    // Each response holds this many bytes without being counted.
    static constexpr std::size_t uncounted_bytes = std::size_t{16} * 1024;

    explicit response_memory(std::size_t capacity)
        : capacity_(capacity)
    {}

    // The counted bytes of one response; they are free again when it ends.
    class reservation
    {
    public:
        explicit reservation(std::shared_ptr<response_memory> memory)
            : memory_(std::move(memory))
        {}
        ~reservation() { memory_->used_ -= counted_; }
        reservation(const reservation&) = delete;
        reservation& operator=(const reservation&) = delete;

        // Records that the response holds `bytes`. Returns false, with nothing changed,
        // if that exceeds the limit.
        bool grow(std::size_t bytes)
        {
            const std::size_t counted =
                bytes > uncounted_bytes ? bytes - uncounted_bytes : 0;
            if (counted <= counted_) {
                return true;
            }
            if (memory_->used_ + (counted - counted_) > memory_->capacity_) {
                ++memory_->refusals_;
                return false;
            }
            memory_->used_ += counted - counted_;
            counted_ = counted;
            return true;
        }

    private:
        std::shared_ptr<response_memory> memory_;
        std::size_t counted_ = 0;
    };

    [[nodiscard]] std::size_t used() const { return used_; }
    [[nodiscard]] std::size_t capacity() const { return capacity_; }
    // How many responses were refused for want of memory.
    [[nodiscard]] std::size_t refusals() const { return refusals_; }

private:
    std::size_t capacity_;
    std::size_t used_ = 0;
    std::size_t refusals_ = 0;
};

} // namespace curranthoist::http
