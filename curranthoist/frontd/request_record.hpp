#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/forwarding/request_action.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <string>

namespace curranthoist::frontd {

struct caller_request;

// How one caller's request went, as log lines and metrics.
class request_record
{
public:
    // How a request ended.
    struct ending
    {
        const char* outcome = "";
        unsigned status = 0;
        // Shards that the answer lacks.
        std::size_t missing = 0;
        // What a caller whose request has not run was told.
        std::optional<base::duration> told_pause = std::nullopt;
    };

    // The request must outlive it.
    explicit request_record(const caller_request& request)
        : request_(request)
    {}

    // Writes one line for all sends of these actions that are not the first.
    void on_actions(std::span<const forwarding::request_action> actions);
    void on_end(const ending& end) const;

private:
    // Why the shards (or the one service) that got no send got none; empty if each got
    // one.
    [[nodiscard]] std::string shortages() const;

    const caller_request& request_;
    std::size_t hedges_ = 0;
    std::size_t retries_ = 0;
};

} // namespace curranthoist::frontd
