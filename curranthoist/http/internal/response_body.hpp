#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/http/memory_account.hpp"

#include <memory>
#include <string>

namespace curranthoist::http::internal {

// The body of a response while its caller reads it. The server and libmicrohttpd share
// it; once it is released, the connection ends without the rest.
struct response_body
{
    void release()
    {
        released = true;
        bytes = {};
        held_memory.reset();
    }

    std::string bytes;
    std::shared_ptr<memory_account::reservation> held_memory;
    // When the library last took some of it.
    base::instant last_read;
    bool released = false;
};

} // namespace curranthoist::http::internal
