#include "curranthoist/forwarding/target_directory.hpp"

#include <gtest/gtest.h>

#include <set>

namespace curranthoist::forwarding {
namespace {

using base::duration;
using base::instant;

const base::service_id service("s");
constexpr duration usual_latency{20};

deployment::listed_target target(const std::string& id, const std::string& zone = "near")
{
    return {base::target_id(id),
            service,
            base::zone_id(zone),
            {"10.0.0.1", static_cast<std::uint16_t>(8000 + id.back())},
            false,
            {}};
}

class target_directory_test : public ::testing::Test
{
protected:
    void list(const std::vector<deployment::listed_target>& targets)
    {
        directory_.apply({.targets = targets, .read_at = now_});
    }
    [[nodiscard]] std::string chosen(const std::string& excluded = "") const
    {
        const std::vector<base::target_id> used{base::target_id(excluded)};
        const auto* found = directory_.choose(service, used, now_);
        return found == nullptr ? "" : found->id.str();
    }
    void advance(std::int64_t milliseconds) { now_ = now_ + duration(milliseconds); }
    void send_and_respond(const std::string& id, response_kind kind,
                          std::int64_t latency_ms = 20)
    {
        directory_.on_sent(base::target_id(id), usual_latency, now_);
        advance(latency_ms);
        directory_.on_answer(base::target_id(id), kind, duration(latency_ms),
                             usual_latency, now_);
    }

    instant now_{1'000'000};
    target_directory directory_{{base::zone_id("near"), "vm-1", duration(800)}};
};

// Guards against requests to a target that is about to stop.
TEST_F(target_directory_test, a_draining_target_gets_nothing)
{
    auto leaving = target("a");
    leaving.draining = true;
    list({leaving, target("b", "far")});
    EXPECT_EQ(chosen(), "b");
    EXPECT_EQ(directory_.explain(service, now_).draining, 1U);
}

// Guards against overload of a target that has just started.
TEST_F(target_directory_test, a_cold_target_gets_nothing_until_it_is_warm)
{
    auto cold = target("a");
    cold.remaining_cold_time = duration(2000);
    list({cold});
    EXPECT_EQ(chosen(), "");
    advance(2500);
    EXPECT_EQ(chosen(), "a");
}

// Guards against a warm-up that ends too early because a later list shows no warm-up
// time.
TEST_F(target_directory_test, a_later_list_does_not_shorten_the_warm_up)
{
    auto cold = target("a");
    cold.remaining_cold_time = duration(2000);
    list({cold});
    list({target("a")});
    EXPECT_EQ(chosen(), "");
}

// Guards against requests to a target that has said that it is leaving, while the list,
// which lags, still names it as ready.
TEST_F(target_directory_test, a_target_that_says_it_is_leaving_gets_nothing)
{
    list({target("a"), target("b", "far")});
    EXPECT_TRUE(directory_.on_notice(base::target_id("a"), {.leaving = true}, now_));
    EXPECT_FALSE(directory_.on_notice(base::target_id("a"), {.leaving = true}, now_));
    EXPECT_EQ(chosen(), "b");
    advance(900);
    list({target("a"), target("b", "far")});
    EXPECT_EQ(chosen(), "b");
    EXPECT_EQ(directory_.explain(service, now_).leaving, 1U);
}

// Guards against a leaving target that comes back because one reading of the list, which
// has several pages, missed it.
TEST_F(target_directory_test, a_gap_in_the_list_does_not_undo_a_notice)
{
    list({target("a"), target("b")});
    directory_.on_notice(base::target_id("a"), {.leaving = true}, now_);
    directory_.on_notice(base::target_id("b"), {.pause = duration(5000)}, now_);
    advance(900);
    list({});
    advance(900);
    list({target("a"), target("b")});
    EXPECT_EQ(chosen(), "");
    advance(3300);
    EXPECT_EQ(chosen(), "b");
}

// Guards against another target at a new address that inherits what the former one of
// that id said.
TEST_F(target_directory_test, a_notice_ends_with_the_address)
{
    list({target("a")});
    directory_.on_notice(base::target_id("a"), {.leaving = true}, now_);
    auto moved = target("a");
    moved.address.port = 9999;
    list({moved});
    EXPECT_EQ(chosen(), "a");
}

// Guards against a target that restarted under its id and is never used again, and
// against probes of one that the list says is draining.
TEST_F(target_directory_test, a_leaving_target_returns_once_its_health_says_so)
{
    list({target("a")});
    directory_.on_notice(base::target_id("a"), {.leaving = true}, now_);
    advance(3900);
    EXPECT_TRUE(directory_.due_probes(now_).empty());
    auto draining = target("a");
    draining.draining = true;
    list({draining});
    advance(200);
    EXPECT_TRUE(directory_.due_probes(now_).empty());
    list({target("a")});
    advance(5000);
    EXPECT_EQ(directory_.due_probes(now_).size(), 1U);
    directory_.on_healthy(base::target_id("a"), duration(1000), now_);
    EXPECT_EQ(chosen(), "");
    advance(1300);
    EXPECT_EQ(chosen(), "a");
}

// Guards against requests, probes and preconnections to a target that wants none for a
// while, and against a later notice that shortens the time.
TEST_F(target_directory_test, a_target_that_wants_a_pause_gets_nothing_until_it_ends)
{
    const std::vector<base::service_id> services{service};
    list({target("a")});
    EXPECT_TRUE(
        directory_.on_notice(base::target_id("a"), {.pause = duration(3000)}, now_));
    directory_.on_notice(base::target_id("a"), {.pause = duration(500)}, now_);
    send_and_respond("a", response_kind::unreachable, 0);
    advance(2900);
    EXPECT_EQ(chosen(), "");
    EXPECT_EQ(directory_.explain(service, now_).paused, 1U);
    EXPECT_TRUE(directory_.due_probes(now_).empty());
    for (int i = 0; i < 8; ++i) {
        EXPECT_TRUE(directory_.due_preconnections(services, 9, now_).empty());
    }
    advance(200);
    EXPECT_EQ(directory_.due_probes(now_).size(), 1U);
}

// Guards against callers that are told to come back before any target takes requests.
TEST_F(target_directory_test, the_shortest_pause_of_a_service_is_known)
{
    list({target("a"), target("b")});
    EXPECT_FALSE(directory_.shortest_pause(service, now_));
    directory_.on_notice(base::target_id("a"), {.pause = duration(3000)}, now_);
    directory_.on_notice(base::target_id("b"), {.pause = duration(1000)}, now_);
    advance(400);
    EXPECT_EQ(directory_.shortest_pause(service, now_), duration(600));
    EXPECT_FALSE(directory_.shortest_pause(base::service_id("other"), now_));
}

// Guards against requests that leave the zone because its target is merely in use, and
// against requests that stay although it is far slower.
TEST_F(target_directory_test, a_request_leaves_the_zone_only_if_it_would_wait_too_long)
{
    target_directory directory{{.own_zone = base::zone_id("near"),
                                .own_name = "vm-1",
                                .list_lag = duration(800),
                                .zone_cost = duration(40)}};
    directory.apply({.targets = {target("t1"), target("t2", "far")}, .read_at = now_});
    const auto chosen = [&] { return directory.choose(service, {}, now_)->id.str(); };
    // Two requests, each of 28 ms, are open there.
    directory.on_sent(base::target_id("t1"), duration(28), now_);
    EXPECT_EQ(chosen(), "t1");
    directory.on_sent(base::target_id("t1"), duration(28), now_);
    directory.on_sent(base::target_id("t1"), duration(28), now_);
    EXPECT_EQ(chosen(), "t2");
    for (int i = 0; i < 3; ++i) {
        directory.on_answer(base::target_id("t1"), response_kind::success, duration(28),
                            duration(28), now_);
    }
    EXPECT_EQ(chosen(), "t1");
    // A pause: no answer for twice the usual time.
    directory.on_sent(base::target_id("t1"), duration(28), now_);
    now_ = now_ + duration(100);
    EXPECT_EQ(chosen(), "t2");
}

// Guards against a long wait for a quick request: it is worth no more than its own time.
TEST_F(target_directory_test, a_quick_request_waits_less_for_its_own_zone)
{
    target_directory directory{
        {base::zone_id("near"), "vm-1", duration(800), duration(4000)}};
    directory.apply({.targets = {target("t1"), target("t2", "far")}, .read_at = now_});
    for (int i = 0; i < 3; ++i) {
        directory.on_sent(base::target_id("t1"), duration(9), now_);
    }
    EXPECT_EQ(directory.choose(service, {}, now_)->id, base::target_id("t2"));
}

// Guards against traffic to an evacuated zone, and to targets of a restored zone that are
// cold again before the list says so.
TEST_F(target_directory_test, a_zone_returns_once_a_later_list_was_read)
{
    list({target("a")});
    directory_.set_evacuated({base::zone_id("near")}, now_);
    EXPECT_EQ(chosen(), "");
    directory_.set_evacuated({}, now_);
    EXPECT_EQ(chosen(), "");
    advance(700);
    directory_.confirm_listing(now_);
    EXPECT_EQ(chosen(), "");
    advance(200);
    directory_.confirm_listing(now_);
    EXPECT_EQ(chosen(), "a");
}

// Guards against a target that counts as failing because requests to it were taken back.
TEST_F(target_directory_test, a_withdrawn_request_says_nothing_about_its_target)
{
    list({target("a"), target("b")});
    const std::string first = chosen();
    for (int i = 0; i < 20; ++i) {
        send_and_respond(first, response_kind::withdrawn, 0);
    }
    EXPECT_EQ(chosen(), first);
    EXPECT_TRUE(directory_.is_usable(base::target_id(first), now_));
    EXPECT_FALSE(directory_.is_usable(base::target_id("gone"), now_));
}

// Guards against full load on a crashed target that restarts cold under its old id before
// the list shows it.
TEST_F(target_directory_test, an_unreachable_target_returns_after_its_health_answered)
{
    list({target("a")});
    send_and_respond("a", response_kind::unreachable);
    EXPECT_EQ(chosen(), "");
    EXPECT_TRUE(directory_.due_probes(now_).empty());
    advance(400);
    EXPECT_EQ(directory_.due_probes(now_).size(), 1U);
    EXPECT_TRUE(directory_.due_probes(now_).empty());
    directory_.on_healthy(base::target_id("a"), duration(1000), now_);
    EXPECT_EQ(chosen(), "");
    advance(1300);
    EXPECT_EQ(chosen(), "a");
}

// Guards against requests that wait for a paused target while another target is idle.
TEST_F(target_directory_test, a_target_that_pauses_is_avoided)
{
    list({target("a"), target("b", "far")});
    EXPECT_EQ(chosen(), "a");
    directory_.on_sent(base::target_id("a"), usual_latency, now_);
    advance(50);
    EXPECT_EQ(chosen(), "b");
    directory_.on_answer(base::target_id("a"), response_kind::success, duration(50),
                         usual_latency, now_);
    send_and_respond("b", response_kind::success);
    EXPECT_EQ(chosen(), "a");
}

// Guards against preferring a target that hangs while its copies are only busy. With
// requests of 120 ms, 50 ms without a response are no sign of a stall.
TEST_F(target_directory_test, a_target_stalls_only_beyond_the_usual_time)
{
    constexpr duration slow_work{120};
    list({target("a"), target("b")});
    directory_.on_sent(base::target_id("a"), slow_work, now_);
    advance(200);
    directory_.on_sent(base::target_id("b"), slow_work, now_);
    directory_.on_sent(base::target_id("b"), slow_work, now_);
    EXPECT_EQ(chosen(), "a");
    advance(50);
    EXPECT_EQ(chosen(), "b") << "target a has not responded for 250 ms";
}

// Guards against a slow target that keeps half of the load, and against a target that is
// avoided forever.
TEST_F(target_directory_test, a_slow_target_is_avoided_and_tried_again_later)
{
    list({target("a"), target("b", "far")});
    for (int i = 0; i < 5; ++i) {
        send_and_respond("a", response_kind::success, 200);
    }
    EXPECT_EQ(chosen(), "b");
    advance(20'000);
    EXPECT_EQ(chosen(), "a");
}

// Guards against a VM that forgets a slow target before its next request, because it
// sends only one request in two seconds.
TEST_F(target_directory_test, a_slow_target_is_remembered_over_rare_requests)
{
    list({target("a"), target("b", "far")});
    send_and_respond("a", response_kind::success);
    for (int i = 0; i < 3; ++i) {
        advance(2000);
        send_and_respond("a", response_kind::success, 120);
    }
    advance(4000);
    EXPECT_EQ(chosen(), "b");
    advance(60'000);
    EXPECT_EQ(chosen(), "a");
}

// Guards against VMs that all send to the same one of several equal targets.
TEST_F(target_directory_test, each_vm_has_its_own_order_of_equal_targets)
{
    const std::vector<deployment::listed_target> equal_targets{target("a"), target("b"),
                                                               target("c")};
    std::set<std::string> first_choices;
    for (int vm = 0; vm < 30; ++vm) {
        target_directory directory(
            {base::zone_id("near"), "vm-" + std::to_string(vm), duration(800)});
        directory.apply({.targets = equal_targets, .read_at = now_});
        first_choices.insert(directory.choose(service, {}, now_)->id.str());
    }
    EXPECT_EQ(first_choices.size(), 3U);
}

// Guards against a handshake in the path of each rare request, and against an unlimited
// number of connections.
TEST_F(target_directory_test, a_service_without_a_free_connection_gets_one)
{
    list({target("a"), target("b", "far")});
    const std::vector<base::service_id> services{service};
    EXPECT_TRUE(directory_
                    .due_preconnections(
                        std::vector<base::service_id>{base::service_id("no")}, 5, now_)
                    .empty());
    EXPECT_EQ(directory_.due_preconnections(services, 5, now_),
              std::vector<base::target_id>{base::target_id("a")});
    EXPECT_TRUE(directory_.due_preconnections(services, 0, now_).empty());
    directory_.set_connections(base::target_id("a"), 1, now_);
    EXPECT_TRUE(directory_.due_preconnections(services, 5, now_).empty());
    directory_.on_sent(base::target_id("a"), usual_latency, now_);
    EXPECT_EQ(directory_.due_preconnections(services, 5, now_).size(), 1U);
}

// Guards against VMs that connect ten times a second to a target that has reached its
// connection limit, while its copies still accept connections.
TEST_F(target_directory_test, a_target_that_closes_a_connection_at_once_is_left_alone)
{
    list({target("a"), target("b", "far")});
    const std::vector<base::service_id> services{service};
    const std::vector<base::target_id> near{base::target_id("a")};
    const std::vector<base::target_id> far{base::target_id("b")};
    EXPECT_EQ(directory_.due_preconnections(services, 5, now_), near);
    directory_.set_connections(near[0], 1, now_);
    advance(3);
    directory_.set_connections(near[0], 0, now_);
    EXPECT_EQ(directory_.due_preconnections(services, 5, now_), far);
    advance(6000);
    EXPECT_EQ(directory_.due_preconnections(services, 5, now_), near);
    directory_.set_connections(near[0], 1, now_);
    directory_.set_connections(near[0], 0, now_);
    advance(6000);
    EXPECT_EQ(directory_.due_preconnections(services, 5, now_), far)
        << "the retry delay has doubled";
    advance(5000);
    EXPECT_EQ(directory_.due_preconnections(services, 5, now_), near);
    directory_.set_connections(near[0], 1, now_);
    advance(10'000);
    directory_.set_connections(near[0], 0, now_);
    EXPECT_EQ(directory_.due_preconnections(services, 5, now_), near);
}

// Guards against a VM that sends to a target which is slow for all other VMs, and against
// a VM that stops sending because every target is a suspect.
TEST_F(target_directory_test, a_suspect_is_avoided_where_there_is_another_target)
{
    list({target("a"), target("b", "far")});
    directory_.set_suspects({base::target_id("a")});
    EXPECT_EQ(chosen(), "b");
    EXPECT_EQ(chosen("b"), "a");
    directory_.set_suspects({});
    EXPECT_EQ(chosen(), "a");
}

// Guards against reports that grow with the load, and against observations that a VM does
// not share with the others.
TEST_F(target_directory_test, samples_are_taken_where_requests_are_rare)
{
    list({target("a")});
    for (int i = 0; i < 5; ++i) {
        send_and_respond("a", response_kind::success);
    }
    EXPECT_TRUE(directory_.take_samples().empty());
    for (int i = 0; i < 10; ++i) {
        advance(2000);
        send_and_respond(
            "a", i % 2 == 0 ? response_kind::success : response_kind::unknown, 20);
    }
    advance(2000);
    send_and_respond("a", response_kind::success, 200);
    const auto samples = directory_.take_samples();
    ASSERT_EQ(samples.size(), 1U);
    EXPECT_EQ(samples[0].id, base::target_id("a"));
    EXPECT_GE(samples[0].answers, 9U);
    EXPECT_GE(samples[0].bad, 5U);
    EXPECT_LT(samples[0].bad, samples[0].answers);
    EXPECT_TRUE(directory_.take_samples().empty());
    directory_.set_vm_count(300);
    for (int i = 0; i < 8; ++i) {
        advance(2000);
        send_and_respond("a", response_kind::success);
    }
    ASSERT_EQ(directory_.take_samples().size(), 1U);
}

// Guards against a target that refuses most requests while its copy is idle: each refusal
// uses one of the few extra sends.
TEST_F(target_directory_test, a_target_that_refuses_is_avoided_and_tried_again_later)
{
    list({target("a"), target("b", "far")});
    for (int i = 0; i < 3; ++i) {
        send_and_respond("a", response_kind::not_run, 2);
    }
    EXPECT_EQ(chosen(), "b");
    EXPECT_EQ(chosen("b"), "a");
    advance(20'000);
    EXPECT_EQ(chosen(), "a");
}

// Guards against a slow target that never counts as slow, because a hedge always responds
// first.
TEST_F(target_directory_test, a_target_that_hedges_beat_counts_as_slow)
{
    list({target("a"), target("b", "far")});
    for (int i = 0; i < 6; ++i) {
        send_and_respond("a", response_kind::cancelled, 60);
    }
    send_and_respond("a", response_kind::success, 20);
    EXPECT_EQ(chosen(), "b");
}

// Guards against a partial change that is treated as the whole list, and against a target
// that keeps its old state or address.
TEST_F(target_directory_test, a_change_of_the_list_leaves_other_targets_alone)
{
    list({target("a"), target("b"), target("c")});
    auto leaving = target("b");
    leaving.draining = true;
    const std::vector<base::target_id> removed{base::target_id("a")};
    EXPECT_EQ(directory_.apply({.complete = false,
                                .targets = {leaving, target("d", "far")},
                                .removed = removed,
                                .read_at = now_}),
              removed);
    EXPECT_EQ(directory_.size(), 3U);
    EXPECT_EQ(directory_.find(removed[0]), nullptr);
    EXPECT_EQ(chosen(), "c");
    EXPECT_EQ(chosen("c"), "d");
    auto moved = target("c");
    moved.service = base::service_id("other");
    directory_.apply({.complete = false, .targets = {moved}, .read_at = now_});
    EXPECT_EQ(chosen(), "d");
}

// Guards against a restarted target that inherits observations of its previous run.
TEST_F(target_directory_test, targets_that_are_no_longer_listed_are_returned)
{
    list({target("a"), target("b")});
    const std::vector<deployment::listed_target> next{target("b")};
    const auto gone = directory_.apply({.targets = next, .read_at = now_});
    EXPECT_EQ(gone, std::vector<base::target_id>{base::target_id("a")});
    EXPECT_EQ(directory_.find(base::target_id("a")), nullptr);
}

class rollout_directory_test : public target_directory_test
{
protected:
    rollout_directory_test()
    {
        auto old_target = target("a");
        old_target.version = "v1";
        auto new_target = target("b", "far");
        new_target.version = "v2";
        list({old_target, new_target});
        set_phase(deployment::rollout_phase::running);
    }
    void set_phase(deployment::rollout_phase phase,
                   std::set<std::string> excluded_versions = {})
    {
        const std::vector<deployment::rollout> rollouts{
            {service, "v2", "v1", duration(12'000), instant(1), phase,
             std::move(excluded_versions)}};
        directory_.versions().set_rollouts(rollouts, state_index_);
    }
    // Lists the old target alone, and then both; the reader knows the state of `index`.
    void list_new_target(base::log_index index)
    {
        auto old_target = target("a");
        old_target.version = "v1";
        auto new_target = target("b");
        new_target.version = "v2";
        directory_.versions().set_rollouts({}, state_index_);
        directory_.apply({.targets = {old_target}, .read_at = now_});
        advance(1000);
        directory_.apply(
            {.targets = {old_target, new_target}, .read_at = now_, .state_index = index});
    }
    void set_share(double share)
    {
        const std::vector<deployment::rollout_share> shares{{service, "v2", share}};
        directory_.versions().set_shares(shares, now_);
    }
    const base::log_index state_index_{5};

    // Returns how many of `count` requests go to the new target.
    int send(int count)
    {
        int to_new = 0;
        for (int i = 0; i < count; ++i) {
            const std::string id = chosen();
            directory_.on_sent(base::target_id(id), usual_latency, now_);
            directory_.on_answer(base::target_id(id), response_kind::success,
                                 usual_latency, usual_latency, now_);
            to_new += id == "b" ? 1 : 0;
        }
        return to_new;
    }
};

// Guards against an ordered version that gets requests beyond its share, also as the
// second target of a request or from a VM that doesn't hear the leader.
TEST_F(rollout_directory_test, the_ordered_version_gets_its_share_and_no_more)
{
    EXPECT_EQ(send(100), 0);
    EXPECT_EQ(chosen("a"), "");
    EXPECT_EQ(directory_.explain(service, now_).excluded, 1U);
    set_share(0.1);
    EXPECT_NEAR(send(1000), 100, 1);
    set_share(1.0);
    EXPECT_GE(send(100), 99);
    advance(version_share::max_lifetime.count() + 1);
    EXPECT_EQ(send(100), 0);
    EXPECT_FALSE(directory_.is_usable(base::target_id("b"), now_));
}

// Guards against requests to a version that was rolled back, and to old targets that stop
// at the end of a roll-out.
TEST_F(rollout_directory_test, an_ended_rollout_excludes_a_version)
{
    set_share(1.0);
    set_phase(deployment::rollout_phase::rolled_back, {"v2"});
    EXPECT_EQ(send(10), 0);
    EXPECT_EQ(chosen("a"), "");
    set_phase(deployment::rollout_phase::completed, {"v1"});
    EXPECT_EQ(send(10), 10);
    EXPECT_EQ(chosen("b"), "");
}

// Guards against requests that fail because the targets of the version that they should
// go to are unusable, although those of the old version are not.
TEST_F(rollout_directory_test, the_old_version_serves_what_the_new_one_cannot)
{
    set_share(1.0);
    EXPECT_EQ(chosen("b"), "a");
}

// Guards against a service that a VM out of touch refuses because the roll-out completed
// unheard and the old targets stopped, and against new targets used any earlier.
TEST_F(rollout_directory_test, an_unheard_completion_leaves_the_new_targets)
{
    set_share(0.5);
    advance(version_rules::default_contact_limit.count() + 1);
    EXPECT_EQ(chosen(), "a");
    EXPECT_FALSE(directory_.is_usable(base::target_id("b"), now_));
    send_and_respond("a", response_kind::unreachable);
    set_share(0.0);
    advance(version_rules::default_contact_limit.count());
    EXPECT_EQ(chosen(), "");
    advance(1);
    EXPECT_EQ(chosen(), "b");
    EXPECT_TRUE(directory_.is_usable(base::target_id("b"), now_));
    set_share(0.0);
    EXPECT_EQ(chosen(), "");
}

// Guards against a VM that has just started, has not heard the leader yet and takes that
// for being out of touch.
TEST_F(rollout_directory_test, a_vm_that_never_heard_the_leader_uses_no_new_targets)
{
    advance(version_rules::default_contact_limit.count() * 2);
    send_and_respond("a", response_kind::unreachable);
    EXPECT_EQ(chosen(), "");
}

// Guards against requests to new targets that are listed before their order is known.
TEST_F(rollout_directory_test, a_joining_version_waits_for_the_state_of_its_reading)
{
    list_new_target(base::log_index(6));
    advance(version_rules::join_hold.count() * 10);
    EXPECT_EQ(chosen("a"), "");
    directory_.versions().set_rollouts({}, base::log_index(6));
    EXPECT_EQ(chosen("a"), "b");
}

// Guards against requests to new targets whose order is committed after they are listed,
// and against targets that get nothing though no order comes.
TEST_F(rollout_directory_test, a_joining_version_waits_for_an_order_of_its_own)
{
    list_new_target(state_index_);
    advance(version_rules::join_hold.count() - 1);
    EXPECT_EQ(chosen("a"), "");
    EXPECT_EQ(chosen("b"), "a");
    set_phase(deployment::rollout_phase::running);
    set_share(1.0);
    EXPECT_EQ(chosen("a"), "b");
    directory_.versions().set_rollouts({}, state_index_);
    EXPECT_EQ(chosen("a"), "");
    advance(1);
    EXPECT_EQ(chosen("a"), "b");
}

// Guards against requests to a third version that joins while a roll-out to another one
// runs, before an order for it can be known.
TEST_F(rollout_directory_test, a_version_that_joins_during_a_rollout_waits_too)
{
    auto old_target = target("a");
    old_target.version = "v1";
    auto third_target = target("c");
    third_target.version = "v3";
    advance(1000);
    directory_.apply({.targets = {old_target, third_target},
                      .read_at = now_,
                      .state_index = state_index_});
    EXPECT_EQ(chosen("a"), "");
    advance(version_rules::join_hold.count());
    EXPECT_EQ(chosen("a"), "c");
}

// Guards against targets that wait for an order in a deployment without roll-outs.
TEST_F(rollout_directory_test, without_rollouts_a_joining_version_is_used_at_once)
{
    target_directory::options options;
    options.holds_joining_versions = false;
    directory_ = target_directory(options);
    auto old_target = target("a");
    old_target.version = "v1";
    directory_.apply({.targets = {old_target}, .read_at = now_});
    list_new_target(base::log_index(6));
    EXPECT_EQ(chosen("a"), "b");
}

// Guards against a service without usable targets when the first reading names two
// versions, or when all targets are replaced by those of another version at once.
TEST_F(rollout_directory_test, established_versions_are_used_at_once)
{
    directory_.versions().set_rollouts({}, state_index_);
    EXPECT_EQ(chosen("a"), "b");
    EXPECT_EQ(chosen("b"), "a");
    directory_.apply({.targets = {}, .read_at = now_});
    advance(1000);
    auto other = target("c");
    other.version = "v3";
    directory_.apply({.targets = {other}, .read_at = now_});
    EXPECT_EQ(chosen(), "c");
}

// Guards against an old target that stops with requests that nobody counted: they were
// sent before the order was known, or nothing has answered since.
TEST_F(rollout_directory_test, open_requests_are_counted_by_version)
{
    directory_.versions().set_rollouts({}, state_index_);
    directory_.on_sent(base::target_id("a"), usual_latency, now_);
    set_phase(deployment::rollout_phase::running);
    const auto open = [this] {
        std::map<std::string, std::uint32_t> result;
        for (const auto& one : directory_.answers_by_version()) {
            result[one.version] = one.open;
        }
        return result;
    };
    EXPECT_EQ(open(), (std::map<std::string, std::uint32_t>{{"v1", 1}}));
    send_and_respond("b", response_kind::success);
    directory_.on_sent(base::target_id("b"), usual_latency, now_);
    directory_.on_sent(base::target_id("b"), usual_latency, now_);
    directory_.on_answer(base::target_id("a"), response_kind::cancelled, usual_latency,
                         usual_latency, now_);
    EXPECT_EQ(open(), (std::map<std::string, std::uint32_t>{{"v1", 0}, {"v2", 2}}));
}

// Guards against requests to a version whose running roll-out the leader does not name,
// as one that has just begun to lead.
TEST_F(rollout_directory_test, a_rollout_that_the_leader_does_not_name_gets_nothing)
{
    set_share(1.0);
    directory_.versions().set_shares({}, now_);
    EXPECT_EQ(send(100), 0);
}

// Guards against answers that are counted for the wrong version, and against calls that
// were never run or were overtaken counted as bad.
TEST_F(rollout_directory_test, answers_are_counted_by_version)
{
    set_share(0.5);
    send_and_respond("a", response_kind::success);
    send_and_respond("a", response_kind::cancelled);
    send_and_respond("b", response_kind::failure);
    send_and_respond("b", response_kind::not_run);
    send_and_respond("b", response_kind::success, usual_latency.count() * 4);
    const auto answers = directory_.versions().answers();
    ASSERT_EQ(answers.size(), 2U);
    EXPECT_EQ(answers[0].version, "v1");
    EXPECT_EQ(answers[0].answers, 1U);
    EXPECT_EQ(answers[0].bad, 0U);
    EXPECT_EQ(answers[1].version, "v2");
    EXPECT_EQ(answers[1].answers, 2U);
    EXPECT_EQ(answers[1].bad, 2U);
    set_phase(deployment::rollout_phase::rolled_back, {"v2"});
    EXPECT_TRUE(directory_.versions().answers().empty());
}

} // namespace
} // namespace curranthoist::forwarding
