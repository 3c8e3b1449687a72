#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/base/instant.hpp"

#include <cstdint>
#include <optional>

namespace curranthoist::forwarding {

// The right of one VM to accept keys by the configuration that it holds. Failure that it
// answers: a key is withdrawn while this VM is cut off or frozen, and goes on to work
// here.
//
// The core confirms that a state of the replicated log was the newest at a moment. A VM
// that holds this state may accept keys for a part of the bound after that moment. All
// times are of a clock that goes on while the VM is suspended.
class key_lease
{
public:
    // The part of the bound for which a confirmation holds; the rest is for the way of
    // a request to this VM, and for clocks that differ in rate.
    static constexpr double used_part = 0.6;

    // Keys are accepted at any time without a bound.
    explicit key_lease(std::optional<base::duration> bound)
        : bound_(bound)
    {}

    // The core confirms that the state of `index` was the newest one at `at` or later.
    void confirm(std::uint64_t index, base::instant at)
    {
        if (index > confirmed_index_ ||
            (index == confirmed_index_ && at > confirmed_at_)) {
            confirmed_index_ = index;
            confirmed_at_ = at;
        }
        renew();
    }
    // This VM holds the state of `index`.
    void hold(std::uint64_t index)
    {
        held_index_ = index > held_index_ ? index : held_index_;
        renew();
    }

    // True once the lease was valid, or without a bound.
    [[nodiscard]] bool has_begun() const { return !bound_ || renewed_at_; }
    [[nodiscard]] bool is_valid(base::instant now) const
    {
        return !bound_ || (renewed_at_ && now < *renewed_at_ + used_time());
    }

private:
    void renew()
    {
        if (confirmed_index_ != 0 && held_index_ >= confirmed_index_ &&
            (!renewed_at_ || confirmed_at_ > *renewed_at_)) {
            renewed_at_ = confirmed_at_;
        }
    }
    [[nodiscard]] base::duration used_time() const
    {
        return base::duration(
            static_cast<std::int64_t>(static_cast<double>(bound_->count()) * used_part));
    }

    std::optional<base::duration> bound_;
    std::uint64_t held_index_ = 0;
    // The newest confirmation, also while this VM lacks the state.
    std::uint64_t confirmed_index_ = 0;
    base::instant confirmed_at_;
    std::optional<base::instant> renewed_at_;
};

} // namespace curranthoist::forwarding
