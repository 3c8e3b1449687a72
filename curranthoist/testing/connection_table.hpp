#pragma once

#include "curranthoist/base/instant.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>

namespace curranthoist::testing {

// The open connections of a stand-in target: when each is ready for its first request,
// and which have gone silent. Setting up connections is serial: each takes the same time
// of the target.
class connection_table
{
public:
    explicit connection_table(double cost_ms)
        : cost_ms_(cost_ms)
    {}

    // Times are milliseconds of one clock.
    void open(std::uint64_t connection, double now_ms)
    {
        set_up_until_ms_ = std::max(now_ms, set_up_until_ms_) + cost_ms_;
        connections_[connection] = {set_up_until_ms_, false};
    }
    void close(std::uint64_t connection) { connections_.erase(connection); }
    // Makes every open connection silent for good.
    void stall_all()
    {
        for (auto& [number, each] : connections_) {
            each.silent = true;
        }
    }
    [[nodiscard]] bool is_silent(std::uint64_t connection) const
    {
        const auto found = connections_.find(connection);
        return found != connections_.end() && found->second.silent;
    }
    // How long the connection still needs before it can carry a request.
    [[nodiscard]] double ready_in_ms(std::uint64_t connection, double now_ms) const
    {
        const auto found = connections_.find(connection);
        return found == connections_.end()
                   ? 0
                   : std::max(0.0, found->second.ready_ms - now_ms);
    }
    [[nodiscard]] std::size_t size() const { return connections_.size(); }

private:
    struct entry
    {
        double ready_ms;
        bool silent;
    };

    double cost_ms_;
    double set_up_until_ms_ = 0;
    std::map<std::uint64_t, entry> connections_;
};

} // namespace curranthoist::testing
