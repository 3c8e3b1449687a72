#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/instant.hpp"
#include "curranthoist/http/target_client.hpp"
#include "curranthoist/platform/caller_exchange.hpp"

#include <cstddef>
#include <optional>

namespace curranthoist::frontd {

// One send of a caller's request, by this process or by a gatherer.
struct target_send
{
    std::size_t shard = 0;
    base::target_id target;
    http::target_client::call_number number = 0;
    base::instant sent;
    bool open = true;
    // Taken back before a byte of it was sent; its result may still be to come.
    bool recalled = false;
    std::optional<platform::target_response> response;
    // The gatherer that chooses the target, as the index of its group, and the index of
    // the report that holds the part.
    std::optional<std::size_t> group;
    std::optional<std::size_t> report;

    [[nodiscard]] bool succeeded() const
    {
        return report ||
               (response && response->kind == forwarding::response_kind::success);
    }
};

} // namespace curranthoist::frontd
