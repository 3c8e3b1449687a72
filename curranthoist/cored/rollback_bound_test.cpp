#include "curranthoist/coreclient/core_links.hpp"
#include "curranthoist/cored/rollout_judges.hpp"
#include "curranthoist/forwarding/version_rules.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace curranthoist::cored {
namespace {

using coreclient::core_links;
using forwarding::version_share;

constexpr std::uint64_t bound_bad_answers = 50;
constexpr base::duration turns_bad_after{2000};
constexpr base::duration end_after{9000};

// Two fronts and the leader on a manual clock. One front sends most of the requests and
// gets all the bad answers; its reports take as long as the bound allows for. The other
// one has just got a share when the leader judges, and gets no answer after that.
class rollback_bound_test : public ::testing::TestWithParam<int>
{
protected:
    struct report
    {
        base::instant sent_at;
        base::instant arrives_at;
        std::vector<deployment::version_answers> answers;
    };
    struct front
    {
        std::string name;
        forwarding::version_rules rules;
        base::instant next_report;
        std::deque<report> on_way;
    };

    rollback_bound_test()
    {
        const base::duration lifetime =
            version_share::lifetime_for(limit_, core_links::max_report_delay);
        const deployment::rollout order{service_, "v2", "v1", base::duration(30'000),
                                        wall_};
        rollouts_.emplace(service_, order);
        // The report of the first front leaves just before the version turns bad.
        fronts_.push_back({"busy",
                           forwarding::version_rules("busy", lifetime),
                           start_ + turns_bad_after - core_links::max_report_delay * 3,
                           {}});
        fronts_.push_back(
            {"calm", forwarding::version_rules("calm", lifetime), start_, {}});
        for (front& one : fronts_) {
            one.rules.set_rollouts(std::vector{order}, base::log_index(1));
        }
        judges_.set_rollouts(rollouts_, start_, wall_);
    }
    [[nodiscard]] bool is_bad(base::instant now) const
    {
        return now > start_ + turns_bad_after;
    }
    void send(front& from, int requests, bool can_fail, base::instant now)
    {
        for (int i = 0; i < requests; ++i) {
            const bool is_new = from.rules.allows_next(service_, now);
            const std::string version = is_new ? "v2" : "v1";
            from.rules.on_sent(service_, version, now);
            const bool failed = is_new && can_fail && is_bad(now);
            from.rules.on_answer(service_, version,
                                 failed ? forwarding::response_kind::failure
                                        : forwarding::response_kind::success,
                                 base::duration(1), base::duration());
            sent_to_new_ += is_new ? 1 : 0;
            last_sent_ = is_new ? now : last_sent_;
            bad_ += failed ? 1 : 0;
            if (failed && bad_ == bound_bad_answers) {
                fiftieth_at_ = now;
            }
        }
    }
    void exchange(front& from, base::duration delivery, bool answered, base::instant now)
    {
        if (now >= from.next_report) {
            from.next_report = now + core_links::max_report_delay;
            from.on_way.push_back({now, now + delivery, from.rules.answers()});
        }
        while (!from.on_way.empty() && from.on_way.front().arrives_at <= now) {
            const report arrived = std::move(from.on_way.front());
            from.on_way.pop_front();
            judges_.add(from.name, arrived.answers, now);
            judges_.update(now);
            if (answered) {
                from.rules.set_shares(judges_.shares(), arrived.sent_at);
            }
        }
    }

    const base::duration limit_{GetParam()};
    const base::service_id service_{"s"};
    const base::instant start_{5000};
    const base::instant wall_{1'000'000};
    std::map<base::service_id, deployment::rollout> rollouts_;
    rollout_judges judges_{rollout_judge::options()};
    std::vector<front> fronts_;
    std::uint64_t bad_ = 0;
    std::uint64_t sent_to_new_ = 0;
    base::instant fiftieth_at_ = base::instant::max();
    base::instant last_sent_;
};

// Guards against a report interval, a judgement or a lifetime of shares with which a bad
// version gets requests later than the bound after its fiftieth bad answer.
TEST_P(rollback_bound_test, a_bad_version_gets_nothing_after_the_bound)
{
    const base::instant last_share = start_ + turns_bad_after +
                                     core_links::max_report_delay +
                                     version_share::delivery_limit - base::duration(1);
    for (base::instant now = start_; now < start_ + end_after;
         now = now + base::duration(1)) {
        send(fronts_[0], 40, true, now);
        send(fronts_[1], 1, false, now);
        exchange(fronts_[0],
                 is_bad(now) ? version_share::delivery_limit : base::duration(1), true,
                 now);
        if (now == last_share) {
            fronts_[1].next_report = now;
        }
        exchange(fronts_[1], base::duration(), now <= last_share, now);
    }
    EXPECT_GT(sent_to_new_, 0U);
    ASSERT_NE(fiftieth_at_, base::instant::max());
    EXPECT_LE((last_sent_ - fiftieth_at_).count(), limit_.count());
}

INSTANTIATE_TEST_SUITE_P(limits, rollback_bound_test,
                         ::testing::Values(1200, 1600, 2500, 5000));

} // namespace
} // namespace curranthoist::cored
