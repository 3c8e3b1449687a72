#pragma once

#include "curranthoist/execution/order_reply.hpp"

#include <concepts>

namespace curranthoist::execution {

// Whether an order may be sent to another target after this reply.
template <class Rule>
concept retry_rule = requires(const Rule& rule, const order_reply& reply)
{
    {
        rule.may_send_again(reply)
        } -> std::same_as<bool>;
};

// The rule in use: only a certain "not run" that another target can cure.
struct certain_not_run_only
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
