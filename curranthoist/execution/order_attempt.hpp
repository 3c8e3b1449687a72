#pragma once

#include "curranthoist/execution/claim_reply.hpp"
#include "curranthoist/execution/order_action.hpp"
#include "curranthoist/execution/order_reply.hpp"
#include "curranthoist/execution/retry_rule.hpp"
#include "curranthoist/routing/scatter_context.hpp"
#include "curranthoist/routing/service_map.hpp"

#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace curranthoist::execution {

struct order_options
{
    // Of the claim, unique at this VM for its incarnation.
    std::uint64_t attempt = 0;
    // The first send's number; the attempt uses up to most_sends from here on. A reply
    // with another number is ignored.
    std::uint64_t first_send = 0;
    base::instant deadline;
    // The answer leaves this long before the deadline, so that it reaches the caller.
    base::duration answer_margin{15};
};

// One order (a non-idempotent request): claims its id, sends it to one target, records
// the outcome and answers. It tries another target only after a certain "not run"; a lost
// answer to the claim means that it never sends. Only control knows whether the same id
// ran in an earlier attempt, so without a claim's answer the outcome is always "unknown",
// and "not run" is said only of an id whose claim was granted or that is too new. It does
// no I/O:
//
//     order_attempt<> order(context, map, options);
//     run(order.start(now));
//     run(order.on_claim_reply(now, reply));
//     run(order.on_order_reply(now, reply));
//     run(order.on_outcome_recorded(now));
//
// Keep it until finished(): after the answer it may still have an outcome to record.
template <routing::replica_choice Choice = routing::configured_choice,
          routing::hedging Hedging = routing::configured_hedging,
          retry_rule Rule = certain_not_run_only>
class order_attempt
{
public:
    using context_type = routing::scatter_context<Choice, Hedging>;
    using actions = std::vector<order_action>;

    static constexpr std::uint64_t most_sends = 4;
    // With less time left an order isn't sent.
    static constexpr base::duration least_time_to_send{5};
    static constexpr base::duration record_interval{300};
    // Control without a leader is asked again until the deadline.
    static constexpr base::duration claim_interval{100};
    // A reply that arrives so late after the deadline is still recorded.
    static constexpr base::duration late_reply_accepted{1000};
    // After that the record is given up; control commits "unknown" when the lease or the
    // incarnation ends.
    static constexpr base::duration record_limit{10'000};

    // `context` must outlive the order.
    order_attempt(context_type& context, std::shared_ptr<const routing::service_map> map,
                  const order_options& options);
    // Takes an open send out of the shared loads.
    ~order_attempt();
    order_attempt(const order_attempt&) = delete;
    order_attempt& operator=(const order_attempt&) = delete;

    [[nodiscard]] actions start(base::instant now);
    [[nodiscard]] actions on_claim_reply(base::instant now, const claim_reply& reply);
    // The control session broke before the reply; the claim may have been granted.
    [[nodiscard]] actions on_claim_lost(base::instant now);
    [[nodiscard]] actions on_order_reply(base::instant now, const order_reply& reply);
    // The send could not be handed to any connection: no byte of it has left this VM.
    [[nodiscard]] actions on_not_sent(base::instant now, std::uint64_t send);
    // The connection to the owner broke with the send possibly under way.
    [[nodiscard]] actions on_owner_lost(base::instant now, const base::vm_id& owner);
    // Control stored the outcome, or holds another final one.
    [[nodiscard]] actions on_outcome_recorded(base::instant now);
    [[nodiscard]] actions on_time(base::instant now);
    // The caller closed its connection. A sent order runs on and is recorded.
    [[nodiscard]] actions on_caller_gone(base::instant now);

    [[nodiscard]] base::instant next_wakeup() const;
    // Answered (or the caller is gone), and nothing is left to record.
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
    // The claim is held: records the outcome, then answers.
    void conclude(base::instant now, order_outcome outcome, std::string_view text,
                  std::string body, actions& out);
    // No claim is held: there is nothing to record.
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
    Rule rule_;
    state state_ = state::idle;
    // The claim's reply was lost or came too late, so a later grant is recorded as not
    // run.
    bool claim_abandoned_ = false;
    bool answered_ = false;
    // When to claim again after "unavailable"; nothing while a claim is under way.
    std::optional<base::instant> next_claim_;
    std::set<base::target_id> tried_;
    std::uint64_t sends_ = 0;
    routing::replica current_;
    answer_order concluded_;
    base::instant next_record_;
    base::instant record_end_;
};

} // namespace curranthoist::execution

#include "curranthoist/execution/order_attempt_impl.hpp"

namespace curranthoist::execution {

// The instantiation that the entry process uses is compiled once.
extern template class order_attempt<routing::configured_choice,
                                    routing::configured_hedging, certain_not_run_only>;

} // namespace curranthoist::execution
