#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/http/target_call.hpp"
#include "curranthoist/http/target_result.hpp"

#include <curl/curl.h>
#include <ev++.h>

#include <cstdint>
#include <functional>

namespace curranthoist::http {
class target_client;
}

namespace curranthoist::http::internal {

// One call of a target_client, from start() to the delivery of its result.
struct running_call
{
    explicit running_call(ev::loop_ref loop)
        : deadline(loop)
    {}
    ~running_call() { curl_slist_free_all(header_list); }
    running_call(const running_call&) = delete;
    running_call& operator=(const running_call&) = delete;

    target_client* client = nullptr;
    std::uint64_t number = 0;
    target_call call;
    target_result result;
    std::function<void(target_result)> on_done;
    base::instant started;
    ev::timer deadline;
    // Null while the call waits for a connection.
    CURL* handle = nullptr;
    curl_slist* header_list = nullptr;
    // The request was handed to a connection. It is not handed to a second one.
    bool sent = false;
    bool too_large = false;
    bool mismatched = false;
    bool has_length = false;
    bool has_header = false;
};

} // namespace curranthoist::http::internal
