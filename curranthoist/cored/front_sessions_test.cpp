#include "curranthoist/base/random_source.hpp"
#include "curranthoist/cored/front_sessions.hpp"
#include "curranthoist/cored/next_turn_call.hpp"
#include "curranthoist/http/internal/raw_peer.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include <sys/socket.h>

namespace curranthoist::cored {
namespace {

using http::internal::run_until;

// A front's end of one session.
class fake_front
{
public:
    fake_front(ev::loop_ref loop, int descriptor)
        : connection_(
              loop, descriptor,
              [this](const wire::envelope& message) { on_message(message); },
              [](const std::string&) {})
    {}

    void report(bool hears_leader = true)
    {
        wire::front_report_message message;
        message.sequence = ++reports_;
        message.hears_leader = hears_leader;
        message.state_index = held_state;
        message.gatherers_number = gatherers_number;
        message.stopping = stopping;
        message.zone_cost_ms = zone_cost_ms;
        if (bad_answers > 0) {
            auto entry = std::make_unique<wire::version_answers_message>();
            entry->service = "s";
            entry->version = "v2";
            entry->answers = bad_answers;
            entry->bad = bad_answers;
            message.answers_by_version.push_back(std::move(entry));
        }
        for (const auto& [zone, seen] : zones) {
            auto entry = std::make_unique<wire::zone_answers_message>();
            entry->zone = zone;
            entry->successes = seen.first;
            entry->time_ms = seen.second;
            message.answers_by_zone.push_back(std::move(entry));
        }
        connection_.send(message);
    }

    std::vector<std::uint64_t> states;
    // What its reports name.
    std::uint64_t held_state = 0;
    std::uint64_t answers = 0;
    std::uint64_t fronts = 0;
    std::uint64_t term = 0;
    std::uint64_t confirmed_index = 0;
    std::vector<std::string> gatherers;
    // Of roll-outs, in the last answer.
    std::map<std::string, unsigned> shares;
    std::uint64_t gatherers_number = 0;
    // What its next reports name.
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> zones;
    unsigned zone_cost_ms = 0;
    // Of the version v2 of the service s.
    std::uint64_t bad_answers = 0;
    // Of the last answer, in thousandths; empty if its zone keeps all.
    std::map<std::string, unsigned> given;
    // Of lists and changes of them, as they came.
    std::vector<std::size_t> packed_bytes;
    bool stopping = false;

private:
    void on_message(const wire::envelope& message)
    {
        if (const auto* state = message.body_as_deployment_snapshot()) {
            states.push_back(state->index());
        }
        if (const auto* answer = message.body_as_core_report()) {
            answers = answer->sequence();
            fronts = answer->fronts();
            term = answer->term();
            confirmed_index = answer->confirmed_index();
            shares.clear();
            given.clear();
            if (answer->given_share() != nullptr) {
                given[answer->given_share()->to()->str()] =
                    answer->given_share()->permille();
            }
            if (answer->rollout_shares() != nullptr) {
                for (const auto* one : *answer->rollout_shares()) {
                    shares[one->service()->str()] = one->share_per_10000();
                }
            }
            if (gatherers_number != answer->gatherers_number()) {
                gatherers_number = answer->gatherers_number();
                gatherers.clear();
                if (answer->gatherers() != nullptr) {
                    for (const auto* one : *answer->gatherers()) {
                        gatherers.push_back(one->name()->str());
                    }
                }
            }
        }
        if (const auto* packed = message.body_as_packed_envelope()) {
            packed_bytes.push_back(packed->data()->size());
        }
    }

    std::uint64_t reports_ = 0;
    wire::peer_connection connection_;
};

class front_sessions_test : public ::testing::Test
{
protected:
    // The core's end of a new session; the other end is returned.
    int open_session(const std::string& name, const std::string& zone = "z")
    {
        int ends[2] = {-1, -1};
        EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends), 0);
        wire::hello_message hello;
        hello.id = name;
        hello.zone = zone;
        hello.gather_address = "10.0.0.7:7381";
        const auto frame = wire::encode_frame(hello);
        // Aligned, as the verifier needs it.
        const std::vector<std::uint8_t> bytes(frame.begin() + wire::frame_prefix_bytes,
                                              frame.end());
        const wire::envelope* envelope = wire::verified_envelope(std::span(bytes));
        EXPECT_NE(envelope, nullptr);
        sessions_.on_session(std::make_unique<consensus::peer_session>(loop_, ends[0]),
                             *envelope->body_as_hello());
        return ends[1];
    }
    // Fronts that have reported once.
    std::vector<std::unique_ptr<fake_front>> open_fronts(std::size_t count)
    {
        std::vector<std::unique_ptr<fake_front>> all;
        for (std::size_t i = 0; i < count; ++i) {
            names_.push_back("vm" + std::to_string(i));
            const int other_end = open_session(names_.back());
            all.push_back(std::make_unique<fake_front>(loop_, other_end));
            all.back()->report();
        }
        EXPECT_TRUE(run_until(loop_, [&] { return all.back()->fronts == count; }));
        return all;
    }
    // A configuration whose bytes can't be packed much smaller.
    void replace_configuration(std::uint64_t version, std::size_t bytes)
    {
        std::string document;
        while (document.size() < bytes) {
            document.push_back(static_cast<char>(random_.below(256)));
        }
        state_.apply(
            base::log_index(version),
            deployment::deployment_state::replace_configuration(version, document));
        sessions_.on_state_change();
    }

    static constexpr std::size_t small_document = 1000;
    static constexpr double link_bytes_per_s = 4'000'000;
    ev::dynamic_loop loop_;
    base::random_source random_{1};
    deployment::deployment_state state_;
    bool leads_ = true;
    std::uint64_t term_ = 1;
    std::vector<std::string> members_;
    std::string self_;
    // Of the fronts of open_fronts().
    std::vector<std::string> names_;
    front_sessions sessions_{
        state_, link_bytes_per_s,
        [this] {
            return front_sessions::core_view{leads_, term_, members_, self_};
        },
        2};
};

// Guards against a leader that sends a state after each report until the front has it:
// with hundreds of fronts its link was full of copies, and acknowledgements waited for
// seconds.
TEST_F(front_sessions_test, a_state_goes_over_a_session_once)
{
    fake_front front(loop_, open_session("vm"));
    replace_configuration(1, small_document);
    for (int i = 0; i < 3; ++i) {
        front.report();
    }
    EXPECT_TRUE(run_until(loop_, [&] { return front.answers == 3; }));
    EXPECT_EQ(front.states, std::vector<std::uint64_t>{1});
}

// Guards against a member that starts again and sends fronts the first of the states in
// its log: fronts then routed by a configuration whose shards had been replaced.
TEST_F(front_sessions_test, a_log_that_is_applied_at_once_gives_one_state)
{
    fake_front front(loop_, open_session("vm"));
    next_turn_call changed(loop_, [this] { sessions_.on_state_change(); });
    state_.set_change_handler([&changed] { changed.request(); });
    for (std::uint64_t version = 1; version <= 3; ++version) {
        state_.apply(base::log_index(version),
                     deployment::deployment_state::replace_configuration(version, "{}"));
    }
    front.report();
    EXPECT_TRUE(run_until(loop_, [&] { return !front.states.empty(); }));
    EXPECT_EQ(front.states, std::vector<std::uint64_t>{3});
}

// Guards against shares by a leader that may have been replaced, and against a front
// that returns to stopped targets because it learns of the end of a roll-out late.
TEST_F(front_sessions_test, shares_of_rollouts_come_from_a_confirmed_leader)
{
    fake_front front(loop_, open_session("vm"));
    const auto report = [&] {
        const std::uint64_t before = front.answers;
        front.report();
        EXPECT_TRUE(run_until(loop_, [&] { return front.answers > before; }));
    };
    const deployment::rollout order{base::service_id("s"), "v2", "v1",
                                    base::duration(12'000), base::wall_clock().now()};
    state_.apply(base::log_index(1), deployment::deployment_state::start_rollout(order));
    EXPECT_TRUE(sessions_.judge_rollouts(1).empty());
    report();
    EXPECT_TRUE(front.shares.empty());
    const base::monotonic_clock clock;
    sessions_.confirm(term_, state_.changed_at(), clock.now());
    report();
    EXPECT_EQ(front.shares, (std::map<std::string, unsigned>{{"s", 200}}));
    state_.apply(base::log_index(2), deployment::deployment_state::end_rollout(
                                         order, deployment::rollout_phase::completed));
    EXPECT_TRUE(sessions_.judge_rollouts(1).empty());
    front.held_state = 1;
    report();
    EXPECT_EQ(front.shares, (std::map<std::string, unsigned>{{"s", 10'000}}));
    front.held_state = 2;
    report();
    EXPECT_TRUE(front.shares.empty());
    sessions_.confirm(term_, state_.changed_at(),
                      clock.now() - front_sessions::confirmation_limit * 2);
    front.held_state = 1;
    report();
    EXPECT_TRUE(front.shares.empty());
}

// Guards against a process that leads again and goes on with the share and the judgement
// of its earlier term.
TEST_F(front_sessions_test, a_new_term_judges_rollouts_anew)
{
    fake_front front(loop_, open_session("vm"));
    const deployment::rollout order{base::service_id("s"), "v2", "v1",
                                    base::duration(12'000), base::wall_clock().now()};
    state_.apply(base::log_index(1), deployment::deployment_state::start_rollout(order));
    EXPECT_TRUE(sessions_.judge_rollouts(1).empty());
    front.bad_answers = 20;
    front.report();
    EXPECT_TRUE(run_until(loop_, [&] { return front.answers == 1; }));
    EXPECT_EQ(sessions_.judge_rollouts(1).size(), 1U);
    term_ = 2;
    EXPECT_TRUE(sessions_.judge_rollouts(term_).empty());
    sessions_.confirm(term_, state_.changed_at(), base::monotonic_clock().now());
    front.bad_answers = 0;
    front.report();
    EXPECT_TRUE(run_until(loop_, [&] { return front.answers == 2; }));
    EXPECT_EQ(front.shares, (std::map<std::string, unsigned>{{"s", 200}}));
}

// Guards against a process that leads again and relies on the confirmation of its earlier
// term: another leader may have rolled the version back in between.
TEST_F(front_sessions_test, a_new_term_needs_a_confirmation_of_its_own)
{
    fake_front front(loop_, open_session("vm"));
    const deployment::rollout order{base::service_id("s"), "v2", "v1",
                                    base::duration(12'000), base::wall_clock().now()};
    state_.apply(base::log_index(1), deployment::deployment_state::start_rollout(order));
    EXPECT_TRUE(sessions_.judge_rollouts(term_).empty());
    sessions_.confirm(term_, state_.changed_at(), base::monotonic_clock().now());
    term_ = 3;
    EXPECT_TRUE(sessions_.judge_rollouts(term_).empty());
    front.report();
    EXPECT_TRUE(run_until(loop_, [&] { return front.answers == 1; }));
    EXPECT_TRUE(front.shares.empty());
    EXPECT_EQ(front.confirmed_index, 0U);
}

// Guards against a member that sends its list when it leads no longer, or leads in
// another term than that for which it was read.
TEST_F(front_sessions_test, a_list_is_sent_only_in_the_term_for_which_it_was_read)
{
    const auto list = [] {
        return std::vector<deployment::listed_target>{{base::target_id("t"),
                                                       base::service_id("s"),
                                                       base::zone_id("z"),
                                                       base::endpoint{"10.0.0.9", 80},
                                                       false,
                                                       {},
                                                       {}}};
    };
    sessions_.on_listing(term_, list(), base::monotonic_clock().now());
    fake_front front(loop_, open_session("vm"));
    const auto report = [&] {
        const std::uint64_t before = front.answers;
        front.report();
        EXPECT_TRUE(run_until(loop_, [&] { return front.answers > before; }));
    };
    leads_ = false;
    report();
    leads_ = true;
    term_ = 3;
    report();
    EXPECT_TRUE(front.packed_bytes.empty());
    EXPECT_EQ(front.term, 3U);
    sessions_.on_listing(term_, list(), base::monotonic_clock().now());
    report();
    EXPECT_EQ(front.packed_bytes.size(), 1U);
}

// Guards against a session that queues every state of a series for a front that does not
// read, so that the newest one comes last.
TEST_F(front_sessions_test, a_front_that_reads_late_gets_the_newest_state_next)
{
    // Beyond what the kernel takes for a socket that nobody reads.
    constexpr std::size_t large_document = std::size_t{2} * 1024 * 1024;
    const int other_end = open_session("vm");
    for (std::uint64_t version = 1; version <= 5; ++version) {
        replace_configuration(version, large_document);
    }
    fake_front front(loop_, other_end);
    EXPECT_TRUE(run_until(loop_, [&] { return !front.states.empty(); }));
    front.report();
    EXPECT_TRUE(run_until(loop_, [&] {
        sessions_.send_due();
        return front.states.size() >= 2;
    }));
    EXPECT_EQ(front.states, (std::vector<std::uint64_t>{1, 5}));
}

// Guards against a burst of states to all fronts that keeps the leader's link busy for so
// long that followers miss its heartbeats and elect another leader, which does the same.
TEST_F(front_sessions_test, states_leave_no_faster_than_the_link_bears)
{
    constexpr std::size_t document = 100'000;
    constexpr std::size_t fronts = 8;
    // Half of the link, and what may leave at once, in states.
    constexpr double states_per_s = link_bytes_per_s / 2 / document;
    const auto all = open_fronts(fronts);
    const base::monotonic_clock clock;
    const base::instant begun = clock.now();
    const auto received = [&] {
        sessions_.send_due();
        std::size_t sum = 0;
        for (const auto& one : all) {
            sum += one->states.size();
        }
        const double allowed =
            states_per_s * ((clock.now() - begun).seconds() + 0.1) + 1.0;
        EXPECT_LE(static_cast<double>(sum), allowed);
        return sum;
    };
    replace_configuration(1, document);
    EXPECT_TRUE(run_until(loop_, [&] { return received() == fronts; }));
    for (const auto& one : all) {
        EXPECT_EQ(one->states.size(), 1U);
    }
}

// Guards against a new leader that sends every front the state that it has.
TEST_F(front_sessions_test, a_front_that_has_the_state_does_not_get_it)
{
    leads_ = false;
    replace_configuration(1, small_document);
    fake_front front(loop_, open_session("vm"));
    front.held_state = 1;
    front.report();
    EXPECT_TRUE(run_until(loop_, [&] { return front.answers == 1; }));
    leads_ = true;
    sessions_.on_state_change();
    front.report();
    EXPECT_TRUE(run_until(loop_, [&] { return front.answers == 2; }));
    EXPECT_TRUE(front.states.empty());
}

// Guards against a new session that is taken for one that has the state already.
TEST_F(front_sessions_test, a_new_session_of_the_same_front_gets_the_state_again)
{
    replace_configuration(1, small_document);
    {
        fake_front before(loop_, open_session("vm"));
        before.report();
        EXPECT_TRUE(run_until(loop_, [&] { return !before.states.empty(); }));
    }
    fake_front front(loop_, open_session("vm"));
    front.report();
    EXPECT_TRUE(run_until(loop_, [&] { return !front.states.empty(); }));
}

// Guards against every member sending the same state to a front that has a leader.
TEST_F(front_sessions_test, a_follower_leaves_a_front_to_the_leader_that_it_hears)
{
    leads_ = false;
    replace_configuration(1, small_document);
    fake_front front(loop_, open_session("vm"));
    constexpr double poll_s = 0.05;
    const base::monotonic_clock clock;
    const base::instant end = clock.now() + front_sessions::follower_delay * 2;
    while (clock.now() < end) {
        front.report();
        run_until(
            loop_, [&] { return false; }, poll_s);
    }
    EXPECT_TRUE(front.states.empty());
    while (front.states.empty() && clock.now() < end + front_sessions::follower_limit) {
        front.report(false);
        run_until(
            loop_, [&] { return false; }, poll_s);
    }
    EXPECT_EQ(front.states, std::vector<std::uint64_t>{1});
}

// Guards against one link that carries each state to hundreds of fronts, while those of
// the other members are idle; and against a front that no member serves.
TEST_F(front_sessions_test, many_fronts_are_shared_among_the_members)
{
    constexpr std::size_t fronts = front_sessions::max_direct_fronts + 20;
    members_ = {"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"};
    const auto all = open_fronts(fronts);
    std::vector<int> served(fronts, 0);
    std::uint64_t version = 0;
    for (const std::string& self : members_) {
        self_ = self;
        leads_ = self == members_.front();
        replace_configuration(++version, small_document);
        run_until(
            loop_, [] { return false; }, 0.05);
        for (std::size_t i = 0; i < fronts; ++i) {
            served[i] += all[i]->states.empty() ? 0 : 1;
            all[i]->states.clear();
        }
    }
    EXPECT_EQ(served, std::vector<int>(fronts, 1));
}

// Guards against fronts that wait for the leader's limit after a start of all VMs: a
// member had the state before it knew enough fronts to serve a part of them, and they
// report to it rarely.
TEST_F(front_sessions_test, a_member_serves_its_part_once_there_are_many_fronts)
{
    leads_ = false;
    members_ = {"10.0.0.1:1", "10.0.0.2:1"};
    self_ = members_.front();
    const auto early = open_fronts(front_sessions::max_direct_fronts);
    replace_configuration(1, small_document);
    run_until(
        loop_, [] { return false; }, 0.05);
    const auto served = [&] {
        return std::count_if(early.begin(), early.end(),
                             [](const auto& one) { return !one->states.empty(); });
    };
    EXPECT_EQ(served(), 0);
    fake_front last(loop_, open_session("vm-last"));
    last.report();
    const auto expected =
        std::count_if(names_.begin(), names_.end(), [this](const std::string& name) {
            return std::hash<std::string>()(name) % members_.size() == 0;
        });
    EXPECT_GT(expected, 0);
    EXPECT_TRUE(run_until(loop_, [&] {
        sessions_.send_due();
        return served() >= expected;
    }));
    EXPECT_EQ(served(), expected);
}

// Guards against a front that waits for a member which is gone: the leader serves it
// then.
TEST_F(front_sessions_test, the_leader_serves_a_front_whose_member_does_not)
{
    constexpr std::size_t fronts = front_sessions::max_direct_fronts + 1;
    members_ = {"10.0.0.1:1", "10.0.0.2:1"};
    self_ = members_.front();
    const auto all = open_fronts(fronts);
    replace_configuration(1, small_document);
    const base::monotonic_clock clock;
    const base::instant end = clock.now() + front_sessions::leader_limit * 2;
    const auto lacking = [&] {
        return std::count_if(all.begin(), all.end(),
                             [](const auto& one) { return one->states.empty(); });
    };
    run_until(
        loop_, [] { return false; }, 0.05);
    EXPECT_GT(lacking(), 0);
    while (lacking() > 0 && clock.now() < end) {
        for (const auto& one : all) {
            one->held_state = one->states.empty() ? 0 : 1;
            one->report();
        }
        run_until(
            loop_, [] { return false; }, 0.1);
    }
    EXPECT_EQ(lacking(), 0);
}

// Guards against fronts that never learn who gathers, and against a gatherer that still
// gets requests while it stops.
TEST_F(front_sessions_test, the_leader_names_the_gatherers_that_are_not_stopping)
{
    fake_front one(loop_, open_session("vm1"));
    fake_front other(loop_, open_session("vm2"));
    const auto names = [&](const std::vector<std::string>& wanted) {
        one.report();
        other.report();
        run_until(
            loop_, [] { return false; }, 0.1);
        return one.gatherers == wanted;
    };
    EXPECT_TRUE(run_until(loop_, [&] { return names({"vm1", "vm2"}); }));
    fake_front third(loop_, open_session("vm3"));
    third.report();
    other.stopping = true;
    EXPECT_TRUE(run_until(loop_, [&] {
        third.report();
        return names({"vm1"});
    }));
}

// Guards against a zone whose fronts never learn that its targets are too slow, and
// against a share that reaches the fronts of another zone.
TEST_F(front_sessions_test, the_leader_tells_a_slow_zone_how_much_to_give_away)
{
    base::zone_traffic traffic(base::zone_id("slow"));
    sessions_.count_traffic(traffic);
    fake_front slow(loop_, open_session("vm1", "slow"));
    fake_front fast(loop_, open_session("vm2", "fast"));
    slow.zone_cost_ms = 40;
    fast.zone_cost_ms = 40;
    EXPECT_TRUE(run_until(loop_, [&] {
        auto& [slow_successes, slow_ms] = slow.zones["slow"];
        slow_successes += 20;
        slow_ms += 4'000;
        auto& [fast_successes, fast_ms] = fast.zones["fast"];
        fast_successes += 20;
        fast_ms += 560;
        slow.report();
        fast.report();
        run_until(
            loop_, [] { return false; }, 0.05);
        EXPECT_TRUE(fast.given.empty());
        return slow.given.contains("fast");
    }));
    EXPECT_LT(slow.given["fast"], 200U);
    const auto& counted =
        traffic.with(base::traffic_cause::reports, base::zone_id("fast"));
    EXPECT_GT(counted.sent_bytes, 0U);
    EXPECT_GT(counted.received_bytes, 0U);
}

// Guards against a link that is full of changes of the list: an index that is cut anew
// changes hundreds of targets for hundreds of fronts.
TEST_F(front_sessions_test, a_long_change_of_the_list_is_packed)
{
    const auto targets = [](std::size_t count) {
        std::vector<deployment::listed_target> result;
        for (std::size_t i = 0; i < count; ++i) {
            result.push_back({base::target_id("i-" + std::to_string(1000 + i)),
                              base::service_id("service-" + std::to_string(i)),
                              base::zone_id("z"),
                              {"10.0.0.9", static_cast<std::uint16_t>(1000 + i)},
                              false,
                              {}});
        }
        return result;
    };
    fake_front front(loop_, open_session("vm"));
    sessions_.on_listing(1, targets(1), base::instant(1000));
    ASSERT_TRUE(run_until(loop_, [&] { return front.packed_bytes.size() == 1; }));
    sessions_.on_listing(1, targets(500), base::instant(2000));
    ASSERT_TRUE(run_until(loop_, [&] { return front.packed_bytes.size() == 2; }));
    constexpr std::size_t unpacked_bytes_per_target = 80;
    EXPECT_LT(front.packed_bytes[1], 500 * unpacked_bytes_per_target / 3);
}

// Guards against limits that are shared with a front that has gone.
TEST_F(front_sessions_test, a_front_counts_while_it_reports)
{
    auto gone = std::make_unique<fake_front>(loop_, open_session("gone"));
    fake_front front(loop_, open_session("vm"));
    gone->report();
    front.report();
    EXPECT_TRUE(run_until(loop_, [&] { return front.fronts == 2; }));
    gone.reset();
    EXPECT_TRUE(run_until(loop_, [&] { return sessions_.size() == 1; }));
    front.report();
    EXPECT_TRUE(run_until(loop_, [&] { return front.fronts == 1; }));
}

// Guards against a new leader that counts a lost front for as long as a follower, which
// gets few reports, has to: the others would share the limits with it.
TEST_F(front_sessions_test, a_new_leader_soon_counts_only_fronts_that_report)
{
    leads_ = false;
    fake_front lost(loop_, open_session("lost"));
    fake_front front(loop_, open_session("vm"));
    lost.report();
    front.report();
    EXPECT_TRUE(run_until(loop_, [&] { return front.fronts == 2; }));
    leads_ = true;
    constexpr double reports_arrive_s = 3.0;
    EXPECT_TRUE(run_until(
        loop_,
        [&] {
            front.report();
            run_until(
                loop_, [] { return false; }, 0.1);
            return front.fronts == 1;
        },
        reports_arrive_s));
}

} // namespace
} // namespace curranthoist::cored
