#pragma once

namespace curranthoist::forwarding {

// The room of one process as a request finds it, in parts of the whole.
struct request_room
{
    double used = 0;
    // What the request would take.
    double cost = 0;
    bool fits = true;
};

} // namespace curranthoist::forwarding
