#pragma once

#include "curranthoist/execution/order_reply.hpp"

#include <concepts>

namespace curranthoist::execution {

// Decides whether an order may be sent to another target after a reply.
template <class Retry>
concept retry_policy = requires(const Retry& policy, const order_reply& reply)
{
    {
        policy.may_send_again(reply)
        } -> std::same_as<bool>;
};

// The policy in use: permits another send only if the order certainly didn't run and the
// cause is one that another target may not have.
struct retry_certain_not_run_only
{
    [[nodiscard]] bool may_send_again(const order_reply& reply) const
    {
        using wire::part_status;
        return reply.not_run && (reply.status == part_status::shed ||
                                 reply.status == part_status::not_owner ||
                                 reply.status == part_status::no_lease ||
                                 reply.status == part_status::failed);
    }
};

} // namespace curranthoist::execution
