#include "curranthoist/routing/scatter.hpp"

#include <gtest/gtest.h>

#include <map>

namespace curranthoist::routing {
namespace {

using namespace base::literals;

// Counts a reply that comes after its attempt has ended.
struct counts_late_replies : strict_reply_check
{
    [[nodiscard]] bool counts_late(const part_reply&) const { return true; }
};

// Accepts a reply from another snapshot.
struct mixes_snapshots : strict_reply_check
{
    [[nodiscard]] bool matches(const expected_reply& expected,
                               const part_attempt& attempt, const part_reply& reply) const
    {
        return reply.query == expected.query && reply.part == attempt.part;
    }
};

// Runs queries against owners that answer correctly, late, twice, crossed or wrongly, in
// random order, and compares each response with its own count of the correct replies.
template <class Check>
class scatter_world
{
public:
    explicit scatter_world(std::uint64_t seed)
        : random_(seed)
        , context_(random_)
    {}

    int run(int queries)
    {
        for (int i = 0; i < queries; ++i) {
            run_query();
        }
        breach(extra_sends_ * 20 > first_sends_, "more than 5% extra sends");
        return breaches_;
    }

    const char* last_breach() const { return last_breach_; }
    int extra_sends() const { return extra_sends_; }
    int partial() const { return partial_; }
    int restarts() const { return restarts_; }

private:
    struct open_part
    {
        part_attempt attempt;
        base::snapshot_version version;
    };

    void breach(bool happened, const char* what)
    {
        if (happened) {
            ++breaches_;
            last_breach_ = what;
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
        open_.clear();
        ended_.clear();
        counted_.clear();
        first_tries_.clear();
        responded_ = 0;
        may_have_run_ = false;
        version_ = base::snapshot_version();
        scatter_options options;
        options.query = ++query_number_;
        options.deadline = now_ + base::duration(random_.between(50, 400));
        options.demand_complete = random_.chance(0.2);
        scatter<configured_choice, configured_hedging, Check> query(context_, map_,
                                                                    options);
        perform(query.start(now_));
        while (!query.finished()) {
            now_ = now_ + base::duration(random_.below(3));
            happen(query);
            if (query.next_wakeup() <= now_) {
                perform(query.on_time(now_));
                breach(query.next_wakeup() <= now_, "the same wakeup again");
            }
            breach(now_ > options.deadline, "no answer before the deadline");
        }
        breach(responded_ != 1, "not exactly one response");
        if (!open_.empty()) {
            breach(true, "a part was left running");
        }
    }

    template <class Query>
    void happen(Query& query)
    {
        const auto dice = random_.below(1000);
        if (dice < 6) {
            const base::vm_id owner("vm-" + std::to_string(random_.below(4)));
            end_parts_of(owner);
            perform(query.on_owner_lost(now_, owner));
        }
        else if (dice < 100 && !ended_.empty()) {
            // Late or repeated: to a part that was answered, failed or cancelled.
            const open_part& part = ended_[random_.below(ended_.size())];
            perform(query.on_part_reply(now_, part.attempt.where.owner, correct(part)));
        }
        else if (dice < 150 && !open_.empty()) {
            deliver_wrong(query);
        }
        else if (dice < 800 && !open_.empty()) {
            deliver(query);
        }
    }

    template <class Query>
    void deliver(Query& query)
    {
        auto place = open_.begin();
        std::advance(place, static_cast<std::ptrdiff_t>(random_.below(open_.size())));
        const open_part part = place->second;
        part_reply reply = correct(part);
        if (random_.chance(0.08)) {
            constexpr wire::part_status failures[] = {
                wire::part_status::shed, wire::part_status::failed,
                wire::part_status::snapshot_gone, wire::part_status::timed_out};
            reply.status = failures[random_.below(4)];
            reply.not_run = reply.status == wire::part_status::shed;
        }
        else if (random_.chance(0.03)) {
            reply.snapshot = base::snapshot_version(part.version.value() + 1);
            reply.body = text(reply.snapshot, part.attempt.shard, part.attempt.part);
        }
        else {
            counted_[part.attempt.shard] = reply.body;
        }
        may_have_run_ = may_have_run_ || !reply.not_run;
        ended_.push_back(part);
        open_.erase(place);
        perform(query.on_part_reply(now_, part.attempt.where.owner, reply));
    }

    // Replies that belong to no part of this query; the part stays open.
    template <class Query>
    void deliver_wrong(Query& query)
    {
        const open_part part = open_.begin()->second;
        part_reply reply = correct(part);
        base::vm_id from = part.attempt.where.owner;
        switch (random_.below(3)) {
        case 0:
            --reply.query;
            break;
        case 1:
            reply.part += 1000;
            break;
        default:
            from = base::vm_id("vm-other");
            break;
        }
        perform(query.on_part_reply(now_, from, reply));
    }

    static std::string text(base::snapshot_version version, std::uint32_t shard,
                            std::uint64_t part)
    {
        return std::to_string(version.value()) + "/" + std::to_string(shard) + "/" +
               std::to_string(part);
    }

    part_reply correct(const open_part& part) const
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
        reply.body = text(part.version, part.attempt.shard, part.attempt.part);
        return reply;
    }

    void end_parts_of(const base::vm_id& owner)
    {
        for (auto entry = open_.begin(); entry != open_.end();) {
            if (entry->second.attempt.where.owner == owner) {
                may_have_run_ = true;
                ended_.push_back(entry->second);
                entry = open_.erase(entry);
            }
            else {
                ++entry;
            }
        }
    }

    void perform(const std::vector<scatter_action>& actions)
    {
        for (const scatter_action& action : actions) {
            if (const auto* send = std::get_if<send_parts>(&action)) {
                on_send(*send);
            }
            else if (const auto* cancel = std::get_if<cancel_part>(&action)) {
                breach(open_.count(cancel->part) == 0, "cancelled a part that had ended");
                may_have_run_ = true;
                ended_.push_back(open_.at(cancel->part));
                open_.erase(cancel->part);
            }
            else {
                check(std::get<respond>(action));
            }
        }
    }

    void on_send(const send_parts& message)
    {
        if (message.snapshot != version_) {
            restarts_ += version_ == base::snapshot_version() ? 0 : 1;
            version_ = message.snapshot;
            counted_.clear();
            first_tries_.clear();
        }
        for (const part_attempt& attempt : message.parts) {
            open_.emplace(attempt.part, open_part{attempt, message.snapshot});
            const bool first = first_tries_.insert({attempt.shard, true}).second;
            extra_sends_ += first ? 0 : 1;
            first_sends_ += first && ended_.empty() ? 1 : 0;
        }
    }

    void check(const respond& response)
    {
        ++responded_;
        if (!response.answered) {
            breach(response.not_run && may_have_run_, "'not run' of parts that may have");
            return;
        }
        breach(response.snapshot != version_, "another snapshot than was sent for");
        const auto& shards = map_->snapshots.at(version_).shards;
        breach(response.total != shards.size(), "the total is not the map's");
        breach(response.results.size() + response.missing.size() != shards.size(),
               "a shard is neither answered nor missing");
        breach(response.results.size() != counted_.size(), "coverage differs");
        for (const shard_result& result : response.results) {
            const auto counted =
                counted_.find(static_cast<std::uint32_t>(result.shard.value()));
            breach(counted == counted_.end() || counted->second != result.body,
                   "a result that was not counted");
            breach(result.body.rfind(std::to_string(version_.value()) + "/", 0) != 0,
                   "a result of another snapshot");
        }
        for (const missing_shard& missing : response.missing) {
            breach(missing.reason.empty(), "a missing shard without a reason");
        }
        partial_ += response.missing.empty() ? 0 : 1;
    }

    base::random_source random_;
    scatter_context<> context_;
    base::instant now_{10'000};
    std::shared_ptr<service_map> map_;
    std::uint64_t query_number_ = 0;
    base::snapshot_version version_;
    std::map<std::uint64_t, open_part> open_;
    std::vector<open_part> ended_;
    std::map<std::uint32_t, std::string> counted_;
    std::map<std::uint32_t, bool> first_tries_;
    int responded_ = 0;
    bool may_have_run_ = false;
    int first_sends_ = 0;
    int extra_sends_ = 0;
    int partial_ = 0;
    int restarts_ = 0;
    int breaches_ = 0;
    const char* last_breach_ = "";
};

template <class Check>
int seeds_with_breaches(int seeds)
{
    int noticed = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
        scatter_world<Check> world(static_cast<std::uint64_t>(seed));
        noticed += world.run(200) > 0 ? 1 : 0;
    }
    return noticed;
}

TEST(scatter_random_test, snapshot_coverage_and_budget_hold_in_any_order_of_events)
{
    int extra = 0;
    int partial = 0;
    int restarts = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        scatter_world<strict_reply_check> world(seed);
        ASSERT_EQ(world.run(300), 0) << "seed " << seed << ": " << world.last_breach();
        extra += world.extra_sends();
        partial += world.partial();
        restarts += world.restarts();
    }
    // The runs must reach the cases that the checks are about.
    EXPECT_GT(extra, 1000);
    EXPECT_GT(partial, 1000);
    EXPECT_GT(restarts, 100);
}

TEST(scatter_random_test, the_check_notices_a_counted_late_reply)
{
    EXPECT_EQ(seeds_with_breaches<counts_late_replies>(20), 20);
}

TEST(scatter_random_test, the_check_notices_mixed_snapshots)
{
    EXPECT_EQ(seeds_with_breaches<mixes_snapshots>(20), 20);
}

} // namespace
} // namespace curranthoist::routing
