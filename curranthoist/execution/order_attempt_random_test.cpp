#include "curranthoist/execution/order_attempt.hpp"

#include <gtest/gtest.h>

namespace curranthoist::execution {
namespace {

using wire::claim_answer;
using wire::claim_result;
using wire::part_status;

// Sends again after every failure, even if the order may have run.
struct retries_every_failure
{
    [[nodiscard]] bool may_send_again(const order_reply&) const { return true; }
};

// Callers send each id up to three times through attempts that overlap; control keeps the
// claims; replies, acknowledgements and sends are lost, delayed and reordered at random.
// The targets' journal decides whether an answer was true.
template <class Rule>
class order_world
{
public:
    explicit order_world(std::uint64_t seed)
        : random_(seed)
        , context_(random_)
    {
        for (int i = 0; i < 4; ++i) {
            map_->targets.push_back({base::target_id("t" + std::to_string(i)),
                                     base::vm_id("vm-" + std::to_string(i % 2)),
                                     base::fence(1), false});
        }
    }

    // One request id from its first attempt to the end of its last. Returns the breaches.
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
        breach(!all_finished(), "an attempt never ends");
        breach(runs_ > 1, "ran twice");
        for (const auto& one : attempts_) {
            const bool said_not_run =
                one->answered && one->outcome == order_outcome::not_run;
            breach(said_not_run && one->runs > 0, "'not run' although it ran");
            breach(said_not_run && one->runs_before > 0, "'not run' of an id that ran");
            breach(one->answered && one->outcome == order_outcome::ran && runs_ == 0,
                   "'ran' although it did not");
        }
        return breaches_;
    }

    const char* last_breach() const { return last_breach_; }
    int runs() const { return runs_; }

private:
    using attempt_type =
        order_attempt<routing::configured_choice, routing::configured_hedging, Rule>;

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
        bool claim_under_way = false;
        std::optional<wire::claim_answer> claim_reply;
        std::optional<claim_result> record;
        bool answered = false;
        order_outcome outcome = order_outcome::unknown;
        int runs = 0;
        int runs_before = 0;
    };

    void breach(bool happened, const char* what)
    {
        if (happened) {
            ++breaches_;
            last_breach_ = what;
        }
    }

    void start_attempt()
    {
        auto one = std::make_unique<attempt_state>();
        order_options options;
        options.attempt = one->number = attempts_.size() + 1;
        options.first_send = one->number * 100;
        options.deadline = now_ + base::duration(random_.between(10, 500));
        one->order = std::make_unique<attempt_type>(context_, map_, options);
        one->runs_before = runs_;
        attempts_.push_back(std::move(one));
        perform(*attempts_.back(), attempts_.back()->order->start(now_));
    }

    bool all_finished() const
    {
        for (const auto& one : attempts_) {
            if (!one->order->finished()) {
                return false;
            }
        }
        return true;
    }

    void step()
    {
        now_ = now_ + base::duration(random_.below(4));
        attempt_state& one = *attempts_[random_.below(attempts_.size())];
        switch (random_.below(8)) {
        case 0:
            decide_claim(one);
            break;
        case 1:
            deliver_claim(one);
            break;
        case 2:
            deliver_send(one);
            break;
        case 3:
            store_record(one);
            break;
        default:
            break;
        }
        for (const auto& each : attempts_) {
            if (each->order->next_wakeup() <= now_) {
                perform(*each, each->order->on_time(now_));
            }
        }
        if (random_.chance(0.005)) {
            // The send may still reach the owner and the target.
            perform(one, one.order->on_owner_lost(now_, base::vm_id("vm-0")));
        }
        if (random_.chance(0.002)) {
            perform(one, one.order->on_caller_gone(now_));
        }
    }

    // Control applies the claim; its reply is on the way.
    void decide_claim(attempt_state& one)
    {
        if (!one.claim_under_way || one.claim_reply) {
            return;
        }
        if (random_.chance(0.2)) {
            one.claim_reply = claim_answer::unavailable;
        }
        else if (claim_ == claim_state::none) {
            claim_ = claim_state::pending;
            holder_ = one.number;
            one.claim_reply = claim_answer::granted;
        }
        else {
            one.claim_reply = claim_ == claim_state::ran       ? claim_answer::ran
                              : claim_ == claim_state::unknown ? claim_answer::unknown
                                                               : claim_answer::pending;
        }
    }

    void deliver_claim(attempt_state& one)
    {
        if (one.claim_under_way && random_.chance(0.1)) {
            one.claim_under_way = false;
            one.claim_reply.reset();
            perform(one, one.order->on_claim_lost(now_));
        }
        else if (one.claim_reply) {
            const claim_reply reply{one.number, *one.claim_reply, "receipt"};
            one.claim_under_way = false;
            one.claim_reply.reset();
            perform(one, one.order->on_claim_reply(now_, reply));
        }
    }

    // A send reaches the owner, the target and comes back, or is lost on the way.
    void deliver_send(attempt_state& one)
    {
        if (one.sends.empty()) {
            return;
        }
        const std::uint64_t send = one.sends.back();
        one.sends.pop_back();
        const bool runs = random_.chance(0.5);
        one.runs += runs ? 1 : 0;
        runs_ += runs ? 1 : 0;
        const auto dice = random_.below(10);
        if (dice == 0) {
            // The reply is lost with the connections of both owners.
            perform(one, one.order->on_owner_lost(now_, base::vm_id("vm-0")));
            perform(one, one.order->on_owner_lost(now_, base::vm_id("vm-1")));
        }
        else if (runs) {
            const auto status = dice < 4 ? part_status::timed_out : part_status::ok;
            perform(one, one.order->on_order_reply(now_, {send, status, false, "r"}));
        }
        else {
            constexpr part_status refusals[] = {part_status::shed, part_status::no_lease,
                                                part_status::not_owner,
                                                part_status::failed};
            const bool certain = random_.chance(0.8);
            perform(one, one.order->on_order_reply(
                             now_, {send, refusals[random_.below(4)], certain, ""}));
        }
    }

    void store_record(attempt_state& one)
    {
        if (!one.record || random_.chance(0.3)) {
            return;
        }
        if (claim_ == claim_state::pending && holder_ == one.number) {
            claim_ = *one.record == claim_result::ran       ? claim_state::ran
                     : *one.record == claim_result::not_run ? claim_state::none
                                                            : claim_state::unknown;
        }
        one.record.reset();
        if (random_.chance(0.8)) {
            perform(one, one.order->on_outcome_recorded(now_));
        }
    }

    void perform(attempt_state& one, const std::vector<order_action>& actions)
    {
        for (const order_action& action : actions) {
            if (std::holds_alternative<claim_order>(action)) {
                one.claim_under_way = true;
            }
            else if (const auto* send = std::get_if<send_order>(&action)) {
                breach(one.answered, "sent after the answer");
                one.sends.push_back(send->send);
            }
            else if (const auto* record = std::get_if<record_outcome>(&action)) {
                breach(record->result == claim_result::not_run && one.runs > 0,
                       "recorded as not run although it ran");
                one.record = record->result;
            }
            else {
                breach(one.answered, "answered twice");
                one.answered = true;
                one.outcome = std::get<answer_order>(action).outcome;
            }
        }
    }

    base::random_source random_;
    routing::scatter_context<> context_;
    std::shared_ptr<routing::service_map> map_ = std::make_shared<routing::service_map>();
    base::instant now_{10'000};
    std::vector<std::unique_ptr<attempt_state>> attempts_;
    claim_state claim_ = claim_state::none;
    std::uint64_t holder_ = 0;
    int runs_ = 0;
    int breaches_ = 0;
    const char* last_breach_ = "";
};

TEST(order_attempt_random_test, an_order_runs_at_most_once_and_not_run_is_true)
{
    int runs = 0;
    for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
        order_world<certain_not_run_only> world(seed);
        ASSERT_EQ(world.run(), 0) << "seed " << seed << ": " << world.last_breach();
        runs += world.runs();
    }
    EXPECT_GT(runs, 500);
}

TEST(order_attempt_random_test, the_check_notices_a_second_send_of_an_order)
{
    int noticed = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        order_world<retries_every_failure> world(seed);
        noticed += world.run() > 0 ? 1 : 0;
    }
    EXPECT_GT(noticed, 10);
}

} // namespace
} // namespace curranthoist::execution
