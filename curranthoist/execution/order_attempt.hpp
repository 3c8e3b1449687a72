#pragma once

#include "curranthoist/execution/claim_reply.hpp"
#include "curranthoist/execution/order_action.hpp"
#include "curranthoist/execution/order_reply.hpp"
#include "curranthoist/execution/retry_policy.hpp"
#include "curranthoist/routing/scatter_context.hpp"
#include "curranthoist/routing/service_map.hpp"

#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace curranthoist::execution {

struct order_options
{
    // Number of the claim's attempt, unique within this VM's incarnation.
    std::uint64_t attempt = 0;
    // Number of the first send. The attempt uses up to max_sends consecutive numbers
    // from here on and ignores a reply with any other number.
    std::uint64_t first_send = 0;
    base::instant deadline;
    // How long before the deadline the caller is answered, so that the answer arrives in
    // time.
    base::duration answer_margin{15};
};

// One attempt to run an order (a non-idempotent request). An order_attempt claims the
// request id, sends the order to one target, records the outcome with control and answers
// the caller. It sends to another target only if the order certainly didn't run at the
// previous one, and it never sends if the reply to its claim is lost.
//
// Only control knows whether the same id ran in an earlier attempt. Without control's
// reply to the claim the outcome is therefore always "unknown"; the outcome "not run" is
// reported only for an id whose claim was granted or whose time is in the future.
//
// An order_attempt does no I/O. It returns actions, which the shell performs:
//
//     order_attempt<> order(context, map, options);
//     run(order.start(now));
//     run(order.on_claim_reply(now, reply));
//     run(order.on_order_reply(now, reply));
//     run(order.on_outcome_recorded(now));
//
// An order_attempt must live until finished() is true: after the answer it may still have
// an outcome to record.
template <routing::replica_choice Choice = routing::configured_choice,
          routing::hedging Hedging = routing::configured_hedging,
          retry_policy Retry = retry_certain_not_run_only>
class order_attempt
{
public:
    using context_type = routing::scatter_context<Choice, Hedging>;
    using actions = std::vector<order_action>;

    static constexpr std::uint64_t max_sends = 4;
    // An order is not sent if less than this time is left before it must be answered.
    static constexpr base::duration min_time_to_send{5};
    static constexpr base::duration record_retry_interval{300};
    // While control has no leader, the claim is repeated at this interval until the
    // caller must be answered.
    static constexpr base::duration claim_retry_interval{100};
    // How long after the deadline a target's reply is still accepted and recorded.
    static constexpr base::duration late_reply_grace_period{1000};
    // How long the outcome is sent to control before the attempt gives up. Control then
    // commits the outcome "unknown" when the lease or the incarnation ends.
    static constexpr base::duration record_timeout{10'000};

    // `context` must outlive the order_attempt. A null `map` has no targets.
    order_attempt(context_type& context, std::shared_ptr<const routing::service_map> map,
                  const order_options& options);
    // Removes a send without a reply from the loads in the shared context.
    ~order_attempt();
    order_attempt(const order_attempt&) = delete;
    order_attempt& operator=(const order_attempt&) = delete;

    [[nodiscard]] actions start(base::instant now);
    [[nodiscard]] actions on_claim_reply(base::instant now, const claim_reply& reply);
    // The control session broke before the reply to the claim arrived. Control may have
    // granted the claim.
    [[nodiscard]] actions on_claim_lost(base::instant now);
    [[nodiscard]] actions on_order_reply(base::instant now, const order_reply& reply);
    // The send was not passed to any connection: no byte of it has left this VM.
    [[nodiscard]] actions on_not_sent(base::instant now, std::uint64_t send);
    // The connection to `owner` broke while the send may have been in flight.
    [[nodiscard]] actions on_owner_lost(base::instant now, const base::vm_id& owner);
    // Control stored the outcome, or already holds another final outcome.
    [[nodiscard]] actions on_outcome_recorded(base::instant now);
    [[nodiscard]] actions on_time(base::instant now);
    // The caller closed its connection. An order already sent continues, and its outcome
    // is recorded.
    [[nodiscard]] actions on_caller_gone(base::instant now);

    // Returns when on_time() must be called next, or base::instant::max() if on_time()
    // need not be called.
    [[nodiscard]] base::instant next_wakeup() const;
    // Returns true once the caller is answered (or gone) and no outcome is left to
    // record.
    [[nodiscard]] bool finished() const;

private:
    enum class state : std::uint8_t
    {
        idle,
        claiming,
        sent,
        recording,
        done
    };

    void claim(actions& out);
    void send_or_conclude(base::instant now, std::string_view failure, actions& out);
    // Records the outcome of the granted claim and answers the caller once control has
    // stored it.
    void conclude(base::instant now, order_outcome outcome, std::string_view text,
                  std::string body, actions& out);
    // Answers the caller without recording an outcome, because this attempt holds no
    // claim.
    void end_without_claim(order_outcome outcome, std::string_view text, std::string body,
                           actions& out);
    void abandon_claim(base::instant now, std::string_view text, actions& out);
    void on_send_overdue(base::instant now, actions& out);
    void record(base::instant now, actions& out);
    void answer(answer_order value, actions& out);
    [[nodiscard]] const routing::replica* choose(base::instant now);
    [[nodiscard]] bool is_current(std::uint64_t send) const
    {
        return state_ == state::sent && sends_ > 0 &&
               send == options_.first_send + sends_ - 1;
    }
    [[nodiscard]] base::instant answer_time() const
    {
        return options_.deadline - options_.answer_margin;
    }

    context_type& context_;
    std::shared_ptr<const routing::service_map> map_;
    order_options options_;
    Retry retry_policy_;
    state state_ = state::idle;
    // The reply to the claim was lost or late, or the caller is gone. A grant that still
    // arrives is recorded as not run.
    bool claim_abandoned_ = false;
    bool answered_ = false;
    // When to repeat the claim after the answer `unavailable`; empty while a claim is in
    // flight.
    std::optional<base::instant> next_claim_time_;
    std::set<base::target_id> tried_targets_;
    std::uint64_t sends_ = 0;
    routing::replica current_;
    answer_order final_answer_;
    base::instant next_record_time_;
    base::instant record_deadline_;
};

} // namespace curranthoist::execution

#include "curranthoist/execution/order_attempt_impl.hpp"

namespace curranthoist::execution {

// order_attempt.cpp instantiates the template arguments that the entry process uses.
extern template class order_attempt<
    routing::configured_choice, routing::configured_hedging, retry_certain_not_run_only>;

} // namespace curranthoist::execution
