#pragma once

#include "curranthoist/control/configuration.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace curranthoist::control {

// The frames that bring a VM to the leader's configuration: recent deltas for a VM whose
// revision they start from, the whole configuration for any other.
//
//     feed.advance(state.current());
//     for (const auto& frame : feed.frames_from(applied)) { send(frame); }
class configuration_feed
{
public:
    // A VM that missed more deltas than this receives the whole configuration.
    static constexpr std::size_t max_deltas = 16;

    using frame = std::vector<std::uint8_t>;

    // Starts anew with `current`, without deltas.
    void reset(const configuration& current);
    // Adds the delta from the present revision to that of `current`.
    void advance(const configuration& current);
    // The revision that the frames lead to.
    [[nodiscard]] base::revision revision() const { return value_.number; }
    // The frames for a VM that has `applied`, in order; none if it is up to date.
    [[nodiscard]] std::vector<frame> frames_from(base::revision applied);

private:
    struct step
    {
        base::revision base;
        frame delta;
    };

    configuration value_;
    std::deque<step> steps_;
    // The whole configuration, encoded when it is first needed.
    frame whole_;
};

} // namespace curranthoist::control
