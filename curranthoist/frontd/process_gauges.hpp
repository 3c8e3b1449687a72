#pragma once

#include <cstddef>

namespace curranthoist::coreclient {
class core_links;
}

namespace curranthoist::http {
class caller_server;
}

namespace curranthoist::frontd {

struct front_state;

// Brings the gauges of a front process up to date before they are read.
void set_gauges(front_state& state, const http::caller_server& callers,
                const coreclient::core_links& links, std::size_t open_requests);

} // namespace curranthoist::frontd
