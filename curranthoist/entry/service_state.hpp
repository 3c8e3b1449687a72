#pragma once

#include "curranthoist/admission/query_limiter.hpp"
#include "curranthoist/routing/scatter_context.hpp"

namespace curranthoist::entry {

// What the requests of one service at this VM share.
struct service_state
{
    routing::scatter_context<> context;
    admission::query_limiter limiter;
};

} // namespace curranthoist::entry
