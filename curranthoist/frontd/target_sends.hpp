#pragma once

#include "curranthoist/forwarding/request_action.hpp"
#include "curranthoist/http/target_client.hpp"

#include <functional>
#include <vector>

namespace curranthoist::frontd {

struct caller_request;

// The sends of one caller's request that this process makes itself: one call to one
// target each.
class target_sends
{
public:
    using result_handler = std::function<void(forwarding::call_id, http::target_result)>;

    // The request must outlive it.
    explicit target_sends(caller_request& request)
        : request_(request)
    {}

    void start(const forwarding::send_action& action, const result_handler& on_result);
    // Returns the actions that follow from the result of an open call.
    std::vector<forwarding::request_action> on_result(forwarding::call_id call,
                                                      http::target_result result);
    void cancel(const forwarding::cancel_action& action, bool caller_gone);
    void recall(const forwarding::recall_action& action);

private:
    caller_request& request_;
};

} // namespace curranthoist::frontd
