#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/http/target_call.hpp"
#include "curranthoist/http/target_result.hpp"

#include <ev++.h>

#include <cstdint>
#include <functional>

namespace curranthoist::http::internal {

struct target_connection;

// One call of a target_client, from start() to the delivery of its result.
struct running_call
{
    explicit running_call(ev::loop_ref loop)
        : deadline(loop)
    {}
    running_call(const running_call&) = delete;
    running_call& operator=(const running_call&) = delete;

    std::uint64_t number = 0;
    target_call call;
    target_result result;
    std::function<void(target_result)> on_done;
    base::instant started;
    ev::timer deadline;
    // Null while the call waits for a connection.
    target_connection* connection = nullptr;
};

} // namespace curranthoist::http::internal
