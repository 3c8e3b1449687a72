#include "curranthoist/routing/scatter.hpp"

#include <gtest/gtest.h>

#include <map>

namespace curranthoist::routing {
namespace {

using namespace base::literals;

// A faulty check that accepts a reply that arrives after its attempt has ended.
struct accepts_late_replies : strict_reply_check
{
    [[nodiscard]] bool accepts_late(const part_reply&) const { return true; }
};

// A faulty check that accepts a reply from another snapshot.
struct accepts_other_snapshots : strict_reply_check
{
    [[nodiscard]] bool matches(const expected_reply& expected,
                               const part_attempt& attempt, const part_reply& reply) const
    {
        return reply.query == expected.query && reply.part == attempt.part;
    }
};

// Runs queries against simulated owners whose replies are correct, late, repeated, wrong,
// or meant for another query or part, in random order. Compares each response with the
// correct replies that the simulation delivered.
template <class Check>
class scatter_simulation
{
public:
    explicit scatter_simulation(std::uint64_t seed)
        : random_(seed)
        , context_(random_)
    {}

    int run(int queries)
    {
        for (int i = 0; i < queries; ++i) {
            run_query();
        }
        expect_not(extra_sends_ * 20 > first_sends_, "more than 5% extra sends");
        return violations_;
    }

    const char* last_violation() const { return last_violation_; }
    int extra_sends() const { return extra_sends_; }
    int partial_responses() const { return partial_responses_; }
    int restarts() const { return restarts_; }

private:
    struct open_part
    {
        part_attempt attempt;
        base::snapshot_version version;
    };

    void expect_not(bool violated, const char* description)
    {
        if (violated) {
            ++violations_;
            last_violation_ = description;
        }
    }

    std::shared_ptr<service_map> random_map()
    {
        auto map = std::make_shared<service_map>();
        const std::uint64_t versions = 1 + random_.below(3);
        for (std::uint64_t version = 1; version <= versions; ++version) {
            auto& shards = map->snapshots[base::snapshot_version(version)].shards;
            shards.resize(4 + random_.below(8));
            for (std::size_t shard = 0; shard < shards.size(); ++shard) {
                for (std::uint64_t copy = random_.chance(0.05) ? 1 : 0; copy < 2;
                     ++copy) {
                    const std::string name =
                        std::to_string(shard) + "-" + std::to_string(copy);
                    const auto owner = "vm-" + std::to_string(random_.below(4));
                    shards[shard].push_back({base::target_id(name), base::vm_id(owner),
                                             base::fence(1), random_.chance(0.1)});
                }
            }
        }
        return map;
    }

    void run_query()
    {
        map_ = random_map();
        open_parts_.clear();
        ended_parts_.clear();
        accepted_bodies_.clear();
        attempted_shards_.clear();
        response_count_ = 0;
        may_have_run_ = false;
        version_ = base::snapshot_version();
        scatter_options options;
        options.query = ++query_number_;
        options.deadline = now_ + base::duration(random_.between(50, 400));
        options.demand_complete = random_.chance(0.2);
        scatter<configured_choice, configured_hedging, Check> query(context_, map_,
                                                                    options);
        apply_actions(query.start(now_));
        while (!query.finished()) {
            now_ = now_ + base::duration(random_.below(3));
            trigger_random_event(query);
            if (query.next_wakeup() <= now_) {
                apply_actions(query.on_time(now_));
                expect_not(query.next_wakeup() <= now_,
                           "on_time() did not advance the next wakeup");
            }
            expect_not(now_ > options.deadline, "no response before the deadline");
        }
        expect_not(response_count_ != 1, "not exactly one response");
        if (!open_parts_.empty()) {
            expect_not(true, "a part was left running");
        }
    }

    template <class Query>
    void trigger_random_event(Query& query)
    {
        const auto roll = random_.below(1000);
        if (roll < 6) {
            const base::vm_id owner("vm-" + std::to_string(random_.below(4)));
            end_parts_at_owner(owner);
            apply_actions(query.on_owner_lost(now_, owner));
        }
        else if (roll < 100 && !ended_parts_.empty()) {
            // A late or repeated reply to a part that was replied to, failed or
            // cancelled.
            const open_part& part = ended_parts_[random_.below(ended_parts_.size())];
            apply_actions(
                query.on_part_reply(now_, part.attempt.where.owner, correct_reply(part)));
        }
        else if (roll < 150 && !open_parts_.empty()) {
            deliver_foreign_reply(query);
        }
        else if (roll < 800 && !open_parts_.empty()) {
            deliver(query);
        }
    }

    template <class Query>
    void deliver(Query& query)
    {
        auto position = open_parts_.begin();
        std::advance(position,
                     static_cast<std::ptrdiff_t>(random_.below(open_parts_.size())));
        const open_part part = position->second;
        part_reply reply = correct_reply(part);
        if (random_.chance(0.08)) {
            constexpr wire::part_status failures[] = {
                wire::part_status::shed, wire::part_status::failed,
                wire::part_status::snapshot_gone, wire::part_status::timed_out};
            reply.status = failures[random_.below(4)];
            reply.not_run = reply.status == wire::part_status::shed;
        }
        else if (random_.chance(0.03)) {
            reply.snapshot = base::snapshot_version(part.version.value() + 1);
            reply.body =
                reply_body(reply.snapshot, part.attempt.shard, part.attempt.part);
        }
        else {
            accepted_bodies_[part.attempt.shard] = reply.body;
        }
        may_have_run_ = may_have_run_ || !reply.not_run;
        ended_parts_.push_back(part);
        open_parts_.erase(position);
        apply_actions(query.on_part_reply(now_, part.attempt.where.owner, reply));
    }

    // Delivers a reply that belongs to no part of this query or comes from another VM.
    // The part stays open.
    template <class Query>
    void deliver_foreign_reply(Query& query)
    {
        const open_part part = open_parts_.begin()->second;
        part_reply reply = correct_reply(part);
        base::vm_id sender = part.attempt.where.owner;
        switch (random_.below(3)) {
        case 0:
            --reply.query;
            break;
        case 1:
            reply.part += 1000;
            break;
        default:
            sender = base::vm_id("vm-other");
            break;
        }
        apply_actions(query.on_part_reply(now_, sender, reply));
    }

    static std::string reply_body(base::snapshot_version version, std::uint32_t shard,
                                  std::uint64_t part)
    {
        return std::to_string(version.value()) + "/" + std::to_string(shard) + "/" +
               std::to_string(part);
    }

    part_reply correct_reply(const open_part& part) const
    {
        part_reply reply;
        reply.query = query_number_;
        reply.part = part.attempt.part;
        reply.status = wire::part_status::ok;
        reply.snapshot = part.version;
        reply.shard = base::shard_number(part.attempt.shard);
        reply.shards =
            static_cast<std::uint32_t>(map_->snapshots.at(part.version).shards.size());
        reply.service_time = 5_ms;
        reply.body = reply_body(part.version, part.attempt.shard, part.attempt.part);
        return reply;
    }

    void end_parts_at_owner(const base::vm_id& owner)
    {
        for (auto entry = open_parts_.begin(); entry != open_parts_.end();) {
            if (entry->second.attempt.where.owner == owner) {
                may_have_run_ = true;
                ended_parts_.push_back(entry->second);
                entry = open_parts_.erase(entry);
            }
            else {
                ++entry;
            }
        }
    }

    void apply_actions(const std::vector<scatter_action>& actions)
    {
        for (const scatter_action& action : actions) {
            if (const auto* send = std::get_if<send_parts>(&action)) {
                on_send(*send);
            }
            else if (const auto* cancel = std::get_if<cancel_part>(&action)) {
                expect_not(open_parts_.count(cancel->part) == 0,
                           "cancelled a part that had ended");
                may_have_run_ = true;
                ended_parts_.push_back(open_parts_.at(cancel->part));
                open_parts_.erase(cancel->part);
            }
            else {
                check_response(std::get<respond>(action));
            }
        }
    }

    void on_send(const send_parts& message)
    {
        if (message.snapshot != version_) {
            restarts_ += version_ == base::snapshot_version() ? 0 : 1;
            version_ = message.snapshot;
            accepted_bodies_.clear();
            attempted_shards_.clear();
        }
        for (const part_attempt& attempt : message.parts) {
            open_parts_.emplace(attempt.part, open_part{attempt, message.snapshot});
            const bool first = attempted_shards_.insert({attempt.shard, true}).second;
            extra_sends_ += first ? 0 : 1;
            first_sends_ += first && ended_parts_.empty() ? 1 : 0;
        }
    }

    void check_response(const respond& response)
    {
        ++response_count_;
        if (!response.answered) {
            expect_not(response.not_run && may_have_run_,
                       "'not run' for parts that may have run");
            return;
        }
        expect_not(response.snapshot != version_,
                   "the snapshot differs from that of the sent parts");
        const auto& shards = map_->snapshots.at(version_).shards;
        expect_not(response.total != shards.size(),
                   "the total differs from the number of shards in the map");
        expect_not(response.results.size() + response.missing.size() != shards.size(),
                   "a shard is neither in the results nor missing");
        expect_not(response.results.size() != accepted_bodies_.size(),
                   "the number of results differs from the accepted replies");
        for (const shard_result& result : response.results) {
            const auto accepted =
                accepted_bodies_.find(static_cast<std::uint32_t>(result.shard.value()));
            expect_not(accepted == accepted_bodies_.end() ||
                           accepted->second != result.body,
                       "a result that was not accepted");
            expect_not(result.body.rfind(std::to_string(version_.value()) + "/", 0) != 0,
                       "a result from another snapshot");
        }
        for (const missing_shard& missing : response.missing) {
            expect_not(missing.reason.empty(), "a missing shard without a reason");
        }
        partial_responses_ += response.missing.empty() ? 0 : 1;
    }

    base::random_source random_;
    scatter_context<> context_;
    base::instant now_{10'000};
    std::shared_ptr<service_map> map_;
    std::uint64_t query_number_ = 0;
    base::snapshot_version version_;
    std::map<std::uint64_t, open_part> open_parts_;
    std::vector<open_part> ended_parts_;
    std::map<std::uint32_t, std::string> accepted_bodies_;
    std::map<std::uint32_t, bool> attempted_shards_;
    int response_count_ = 0;
    bool may_have_run_ = false;
    int first_sends_ = 0;
    int extra_sends_ = 0;
    int partial_responses_ = 0;
    int restarts_ = 0;
    int violations_ = 0;
    const char* last_violation_ = "";
};

template <class Check>
int count_seeds_with_violations(int seeds)
{
    int failing_seeds = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
        scatter_simulation<Check> simulation(static_cast<std::uint64_t>(seed));
        failing_seeds += simulation.run(200) > 0 ? 1 : 0;
    }
    return failing_seeds;
}

TEST(scatter_random_test, snapshot_coverage_and_budget_hold_in_any_order_of_events)
{
    int extra = 0;
    int partial = 0;
    int restarts = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        scatter_simulation<strict_reply_check> simulation(seed);
        ASSERT_EQ(simulation.run(300), 0)
            << "seed " << seed << ": " << simulation.last_violation();
        extra += simulation.extra_sends();
        partial += simulation.partial_responses();
        restarts += simulation.restarts();
    }
    // Guards against runs that never reach the checked cases.
    EXPECT_GT(extra, 1000);
    EXPECT_GT(partial, 1000);
    EXPECT_GT(restarts, 100);
}

TEST(scatter_random_test, the_check_notices_a_counted_late_reply)
{
    EXPECT_EQ(count_seeds_with_violations<accepts_late_replies>(20), 20);
}

TEST(scatter_random_test, the_check_notices_mixed_snapshots)
{
    EXPECT_EQ(count_seeds_with_violations<accepts_other_snapshots>(20), 20);
}

} // namespace
} // namespace curranthoist::routing
