#include "curranthoist/execution/order_attempt.hpp"

#include <gtest/gtest.h>

namespace curranthoist::execution {
namespace {

using wire::claim_answer;
using wire::claim_result;
using wire::part_status;

// A wrong policy that permits another send after every reply, even if the order may have
// run.
struct retry_every_failure
{
    [[nodiscard]] bool may_send_again(const order_reply&) const { return true; }
};

// Simulates one request id that a caller sends three times, in attempts that may
// overlap. The simulation stands for control, which keeps the claim, and for the owners
// and targets; it loses, delays and reorders replies, acknowledgements and sends at
// random. It counts the runs of the order at the targets and compares the answers and
// records with that count.
template <class Retry>
class order_simulation
{
public:
    explicit order_simulation(std::uint64_t seed)
        : random_(seed)
        , context_(random_)
    {
        for (int i = 0; i < 4; ++i) {
            map_->targets.push_back({base::target_id("t" + std::to_string(i)),
                                     base::vm_id("vm-" + std::to_string(i % 2)),
                                     base::fence(1), false});
        }
    }

    // Simulates the request id until all attempts have finished. Returns the number of
    // violations.
    int run()
    {
        for (int attempt = 0; attempt < 3; ++attempt) {
            start_attempt();
            const auto steps = random_.below(400);
            for (std::uint64_t i = 0; i < steps; ++i) {
                step();
            }
        }
        for (int i = 0; i < 20'000 && !all_finished(); ++i) {
            step();
        }
        check_violation(!all_finished(), "an attempt did not finish");
        check_violation(runs_ > 1, "the order ran more than once");
        for (const auto& attempt : attempts_) {
            const bool answered_not_run =
                attempt->answered && attempt->outcome == order_outcome::not_run;
            check_violation(answered_not_run && attempt->runs > 0,
                            "answered 'not run' although this attempt ran the order");
            check_violation(
                answered_not_run && attempt->runs_before > 0,
                "answered 'not run' although an earlier attempt ran the order");
            check_violation(attempt->answered && attempt->outcome == order_outcome::ran &&
                                runs_ == 0,
                            "answered 'ran' although the order did not run");
        }
        return violations_;
    }

    const char* last_violation() const { return last_violation_; }
    int runs() const { return runs_; }

private:
    using attempt_type =
        order_attempt<routing::configured_choice, routing::configured_hedging, Retry>;

    enum class claim_state
    {
        none,
        pending,
        ran,
        unknown
    };

    struct attempt_state
    {
        std::uint64_t number = 0;
        std::unique_ptr<attempt_type> order;
        std::vector<std::uint64_t> sends;
        bool claim_in_flight = false;
        std::optional<wire::claim_answer> claim_reply;
        std::optional<claim_result> record;
        bool answered = false;
        order_outcome outcome = order_outcome::unknown;
        int runs = 0;
        int runs_before = 0;
    };

    void check_violation(bool happened, const char* description)
    {
        if (happened) {
            ++violations_;
            last_violation_ = description;
        }
    }

    void start_attempt()
    {
        auto attempt = std::make_unique<attempt_state>();
        order_options options;
        options.attempt = attempt->number = attempts_.size() + 1;
        options.first_send = attempt->number * 100;
        options.deadline = now_ + base::duration(random_.between(10, 500));
        attempt->order = std::make_unique<attempt_type>(context_, map_, options);
        attempt->runs_before = runs_;
        attempts_.push_back(std::move(attempt));
        perform(*attempts_.back(), attempts_.back()->order->start(now_));
    }

    bool all_finished() const
    {
        for (const auto& attempt : attempts_) {
            if (!attempt->order->finished()) {
                return false;
            }
        }
        return true;
    }

    void step()
    {
        now_ = now_ + base::duration(random_.below(4));
        attempt_state& attempt = *attempts_[random_.below(attempts_.size())];
        switch (random_.below(8)) {
        case 0:
            decide_claim(attempt);
            break;
        case 1:
            deliver_claim(attempt);
            break;
        case 2:
            deliver_send(attempt);
            break;
        case 3:
            store_record(attempt);
            break;
        default:
            break;
        }
        for (const auto& timed_attempt : attempts_) {
            if (timed_attempt->order->next_wakeup() <= now_) {
                perform(*timed_attempt, timed_attempt->order->on_time(now_));
            }
        }
        if (random_.chance(0.005)) {
            // A send already in flight may still reach the owner and the target.
            perform(attempt, attempt.order->on_owner_lost(now_, base::vm_id("vm-0")));
        }
        if (random_.chance(0.002)) {
            perform(attempt, attempt.order->on_caller_gone(now_));
        }
    }

    // Lets control apply the claim and send its reply.
    void decide_claim(attempt_state& attempt)
    {
        if (!attempt.claim_in_flight || attempt.claim_reply) {
            return;
        }
        if (random_.chance(0.2)) {
            attempt.claim_reply = claim_answer::unavailable;
        }
        else if (claim_ == claim_state::none) {
            claim_ = claim_state::pending;
            claim_holder_ = attempt.number;
            attempt.claim_reply = claim_answer::granted;
        }
        else {
            attempt.claim_reply = claim_ == claim_state::ran ? claim_answer::ran
                                  : claim_ == claim_state::unknown
                                      ? claim_answer::unknown
                                      : claim_answer::pending;
        }
    }

    // Delivers control's reply to the claim, or breaks the control session before that.
    void deliver_claim(attempt_state& attempt)
    {
        if (attempt.claim_in_flight && random_.chance(0.1)) {
            attempt.claim_in_flight = false;
            attempt.claim_reply.reset();
            perform(attempt, attempt.order->on_claim_lost(now_));
        }
        else if (attempt.claim_reply) {
            const claim_reply reply{attempt.number, *attempt.claim_reply, "receipt"};
            attempt.claim_in_flight = false;
            attempt.claim_reply.reset();
            perform(attempt, attempt.order->on_claim_reply(now_, reply));
        }
    }

    // Lets the latest send reach the owner and the target, where the order may run.
    // Delivers the reply or loses it.
    void deliver_send(attempt_state& attempt)
    {
        if (attempt.sends.empty()) {
            return;
        }
        const std::uint64_t send = attempt.sends.back();
        attempt.sends.pop_back();
        const bool runs = random_.chance(0.5);
        attempt.runs += runs ? 1 : 0;
        runs_ += runs ? 1 : 0;
        const auto random_case = random_.below(10);
        if (random_case == 0) {
            // The reply is lost because the connections to both owners break.
            perform(attempt, attempt.order->on_owner_lost(now_, base::vm_id("vm-0")));
            perform(attempt, attempt.order->on_owner_lost(now_, base::vm_id("vm-1")));
        }
        else if (runs) {
            const auto status =
                random_case < 4 ? part_status::timed_out : part_status::ok;
            perform(attempt,
                    attempt.order->on_order_reply(now_, {send, status, false, "r"}));
        }
        else {
            constexpr part_status refusals[] = {part_status::shed, part_status::no_lease,
                                                part_status::not_owner,
                                                part_status::failed};
            const bool certain = random_.chance(0.8);
            perform(attempt, attempt.order->on_order_reply(
                                 now_, {send, refusals[random_.below(4)], certain, ""}));
        }
    }

    // Lets control store the recorded outcome; the record or its acknowledgement may be
    // lost.
    void store_record(attempt_state& attempt)
    {
        if (!attempt.record || random_.chance(0.3)) {
            return;
        }
        if (claim_ == claim_state::pending && claim_holder_ == attempt.number) {
            claim_ = *attempt.record == claim_result::ran       ? claim_state::ran
                     : *attempt.record == claim_result::not_run ? claim_state::none
                                                                : claim_state::unknown;
        }
        attempt.record.reset();
        if (random_.chance(0.8)) {
            perform(attempt, attempt.order->on_outcome_recorded(now_));
        }
    }

    // Stores the effects of `actions` and checks them against the runs of the order.
    void perform(attempt_state& attempt, const std::vector<order_action>& actions)
    {
        for (const order_action& action : actions) {
            if (std::holds_alternative<claim_order>(action)) {
                attempt.claim_in_flight = true;
            }
            else if (const auto* send = std::get_if<send_order>(&action)) {
                check_violation(attempt.answered,
                                "sent the order after the caller was answered");
                attempt.sends.push_back(send->send);
            }
            else if (const auto* record = std::get_if<record_outcome>(&action)) {
                check_violation(
                    record->result == claim_result::not_run && attempt.runs > 0,
                    "recorded as not run although this attempt ran the order");
                attempt.record = record->result;
            }
            else {
                check_violation(attempt.answered, "answered the caller twice");
                attempt.answered = true;
                attempt.outcome = std::get<answer_order>(action).outcome;
            }
        }
    }

    base::random_source random_;
    routing::scatter_context<> context_;
    std::shared_ptr<routing::service_map> map_ = std::make_shared<routing::service_map>();
    base::instant now_{10'000};
    std::vector<std::unique_ptr<attempt_state>> attempts_;
    claim_state claim_ = claim_state::none;
    std::uint64_t claim_holder_ = 0;
    int runs_ = 0;
    int violations_ = 0;
    const char* last_violation_ = "";
};

// Guards against an order that runs twice, or is answered "not run" although it ran, when
// attempts of the same request id overlap and messages are lost, late or reordered.
TEST(order_attempt_random_test, an_order_runs_at_most_once_and_not_run_is_true)
{
    int runs = 0;
    for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
        order_simulation<retry_certain_not_run_only> simulation(seed);
        ASSERT_EQ(simulation.run(), 0)
            << "seed " << seed << ": " << simulation.last_violation();
        runs += simulation.runs();
    }
    EXPECT_GT(runs, 500);
}

// Guards against a simulation that detects nothing: with a policy that sends again after
// every reply, an order runs more than once, and the simulation must report it.
TEST(order_attempt_random_test, the_check_notices_a_second_send_of_an_order)
{
    int violating_seed_count = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        order_simulation<retry_every_failure> simulation(seed);
        violating_seed_count += simulation.run() > 0 ? 1 : 0;
    }
    EXPECT_GT(violating_seed_count, 10);
}

} // namespace
} // namespace curranthoist::execution
