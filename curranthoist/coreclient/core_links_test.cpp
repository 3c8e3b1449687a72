#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/coreclient/core_links.hpp"
#include "curranthoist/http/internal/raw_peer.hpp"
#include "curranthoist/testing/loopback.hpp"
#include "curranthoist/wire/packed_text.hpp"
#include "curranthoist/wire/peer_listener.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <optional>
#include <thread>

namespace curranthoist::coreclient {
namespace {

using http::internal::run_until;

// An endpoint that no other test process listens on. A port that the kernel chose and
// that was closed again could be taken by another process.
base::endpoint free_endpoint()
{
    constexpr std::uint16_t port = 7380;
    static unsigned last_host = 0;
    return {testing::loopback_address(++last_host), port};
}

// A core process that responds to reports, as the leader or as a follower, and can send
// messages.
class fake_core
{
public:
    fake_core(ev::loop_ref loop, const base::endpoint& local, bool is_leader,
              std::vector<base::endpoint> members)
        : leads(is_leader)
        , loop_(loop)
        , members_(std::move(members))
        , listener_(loop, local, [this](int descriptor) { on_accept(descriptor); })
    {}

    template <class Message>
    void send(const Message& message)
    {
        for (const auto& peer : peers_) {
            peer->send(message);
        }
    }
    int reports = 0;
    bool answers = true;
    bool leads = false;
    // 0 as from a member of the version before.
    std::uint64_t term = 0;
    // Of the list in the last report.
    std::uint64_t held_sequence = 0;
    std::uint64_t suspects_number = 0;
    int suspects_sent = 0;
    // If not 0, answers name a change of the suspects of that number.
    std::uint64_t suspects_base = 0;
    std::uint64_t gatherers_number = 0;
    // How often reports named each zone, and whether answers name a share.
    std::map<std::string, int> zones_reported;
    bool names_share = false;
    // If not 0, answers name the share of a roll-out and take this time.
    base::duration answer_delay;
    base::instant reported_at;
    // Open requests, by version, in the last report.
    std::map<std::string, unsigned> open;

private:
    void on_accept(int descriptor)
    {
        ++accepted;
        const std::size_t index = peers_.size();
        peers_.push_back(std::make_unique<wire::peer_connection>(
            loop_, descriptor,
            [this, index](const wire::envelope& message) { on_message(index, message); },
            [](const std::string&) {}));
    }
    void on_message(std::size_t peer, const wire::envelope& message)
    {
        const auto* report = message.body_as_front_report();
        if (report == nullptr || !answers) {
            return;
        }
        ++reports;
        if (report->answers_by_zone() != nullptr) {
            for (const auto* one : *report->answers_by_zone()) {
                ++zones_reported[one->zone()->str()];
            }
        }
        reported_at = base::monotonic_clock().now();
        if (report->answers_by_version() != nullptr) {
            for (const auto* one : *report->answers_by_version()) {
                open[one->version()->str()] = one->open();
            }
        }
        wire::core_report_message reply;
        reply.sequence = report->sequence();
        reply.leader = leads;
        reply.term = term;
        held_sequence = report->listing_sequence();
        reply.fronts = 3;
        reply.suspects_number = suspects_number;
        if (report->suspects_number() != suspects_number) {
            reply.suspects = {suspects_base == 0 ? "slow" : "late"};
            reply.suspects_base = suspects_base;
            if (suspects_base != 0) {
                reply.suspects_removed = {"slow"};
            }
            ++suspects_sent;
        }
        reply.gatherers_number = gatherers_number;
        if (report->gatherers_number() != gatherers_number) {
            auto entry = std::make_unique<wire::gatherer_message>();
            entry->name = "vm-7";
            entry->zone = "z";
            entry->address = "10.0.0.7:7381";
            reply.gatherers.push_back(std::move(entry));
        }
        for (const base::endpoint& member : members_) {
            reply.members.push_back(member.str());
        }
        if (names_share) {
            reply.given_share = std::make_unique<wire::zone_share_message>();
            reply.given_share->from = "z";
            reply.given_share->to = "y";
            reply.given_share->permille = 250;
        }
        if (answer_delay > base::duration()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(answer_delay.count()));
            auto entry = std::make_unique<wire::rollout_share_message>();
            entry->service = "s";
            entry->target_version = "v2";
            entry->share_per_10000 = 2500;
            reply.rollout_shares.push_back(std::move(entry));
        }
        peers_[peer]->send(std::move(reply));
    }

public:
    int accepted = 0;

private:
    ev::loop_ref loop_;
    std::vector<base::endpoint> members_;
    std::vector<std::unique_ptr<wire::peer_connection>> peers_;
    wire::peer_listener listener_;
};

class core_links_test : public ::testing::Test
{
protected:
    void connect(const std::vector<base::endpoint>& seeds)
    {
        core_links::handlers callbacks;
        callbacks.on_state = [this](const received_state& state) {
            states_.push_back(state);
        };
        callbacks.on_listing = [this](const deployment::listing_change& change) {
            listings_.push_back(change.targets.size());
        };
        callbacks.on_listing_check = [](base::instant) {};
        callbacks.on_suspects = [this](const std::set<base::target_id>& suspects) {
            suspects_ = suspects;
        };
        callbacks.on_gatherers = [this](std::vector<deployment::gatherer> gatherers) {
            gatherers_.push_back(std::move(gatherers));
        };
        callbacks.answers_by_version = [] {
            return std::vector<deployment::version_answers>{
                {base::service_id("s"), "v1", 7, 1, 2}};
        };
        callbacks.on_rollout_shares =
            [this](std::span<const deployment::rollout_share> shares, base::instant at) {
                rollout_shares_ = {shares.begin(), shares.end()};
                shares_at_ = at;
            };
        callbacks.answers_by_zone = [this] { return seen_; };
        callbacks.on_zone_share = [this](std::optional<deployment::zone_share> share) {
            share_ = std::move(share);
        };
        callbacks.on_front_count = [this](std::size_t count) { fronts_ = count; };
        callbacks.wanted_report_interval = [this] { return wanted_interval_; };
        links_.emplace(loop_, base::vm_id("vm"), base::zone_id("z"), seeds, callbacks);
    }
    static wire::deployment_snapshot_message state(std::uint64_t index)
    {
        wire::deployment_snapshot_message message;
        message.index = index;
        message.version = index;
        return message;
    }
    static wire::target_listing_message listing(std::uint64_t term, std::uint64_t number,
                                                std::size_t targets)
    {
        wire::target_listing_message message;
        message.term = term;
        message.sequence = number;
        for (std::size_t i = 0; i < targets; ++i) {
            auto entry = std::make_unique<wire::listed_target_message>();
            entry->id = "t" + std::to_string(i);
            entry->address = "10.0.0.1:80";
            message.targets.push_back(std::move(entry));
        }
        return message;
    }

    ev::dynamic_loop loop_;
    std::optional<core_links> links_;
    std::vector<received_state> states_;
    std::vector<std::size_t> listings_;
    std::set<base::target_id> suspects_;
    std::vector<std::vector<deployment::gatherer>> gatherers_;
    std::vector<deployment::zone_answers> seen_;
    std::optional<deployment::zone_share> share_;
    std::size_t fronts_ = 0;
    std::vector<deployment::rollout_share> rollout_shares_;
    base::instant shares_at_;
    std::optional<base::duration> wanted_interval_;
};

// Guards against a front that never receives a list: it connects to a follower first and
// stops dialling a seed that is not up yet, and that seed then becomes the leader.
TEST_F(core_links_test, seeds_are_dialled_until_a_leader_has_named_the_members)
{
    const base::endpoint first = free_endpoint();
    const base::endpoint second = free_endpoint();
    fake_core follower(loop_, first, false, {first, second});
    connect({first, second});
    ASSERT_TRUE(run_until(loop_, [&] { return follower.reports >= 2; }));
    fake_core leader(loop_, second, true, {first, second});
    EXPECT_TRUE(run_until(loop_, [&] { return leader.reports > 0; }));
    EXPECT_TRUE(run_until(loop_, [&] { return fronts_ == 3; }));
}

// Guards against a front that never reaches the leader because the members it knows are
// gone: without a leader, the members that a follower names must be dialled too.
TEST_F(core_links_test, members_that_a_follower_names_are_dialled_without_a_leader)
{
    const base::endpoint first = free_endpoint();
    const base::endpoint second = free_endpoint();
    fake_core follower(loop_, first, false, {first, second});
    fake_core leader(loop_, second, true, {first, second});
    connect({first});
    EXPECT_TRUE(run_until(loop_, [&] { return leader.reports > 0; }));
}

// Guards against a configuration or list that is replaced by an older one, and against
// changes that are applied to a list other than the one they start from.
TEST_F(core_links_test, only_newer_states_and_lists_are_passed_on)
{
    const base::endpoint first = free_endpoint();
    fake_core leader(loop_, first, true, {first});
    connect({first});
    ASSERT_TRUE(run_until(loop_, [&] { return leader.reports > 0; }));
    leader.send(state(5));
    leader.send(state(4));
    leader.send(state(5));
    leader.send(state(6));
    leader.send(listing(2, 1, 3));
    leader.send(listing(1, 9, 9));
    leader.send(listing(2, 2, 4));
    ASSERT_TRUE(run_until(loop_, [&] { return listings_.size() >= 2; }));
    // Changes since the second list apply; changes since any other list are ignored.
    wire::target_listing_message change = listing(2, 3, 1);
    change.base = 2;
    leader.send(change);
    change.sequence = 5;
    change.base = 4;
    leader.send(change);
    ASSERT_TRUE(run_until(loop_, [&] { return listings_.size() >= 3; }));
    leader.send(listing(2, 6, 7));
    ASSERT_TRUE(run_until(loop_, [&] { return listings_.size() >= 4; }));
    EXPECT_EQ(listings_, (std::vector<std::size_t>{3, 4, 1, 7}));
    ASSERT_EQ(states_.size(), 2U);
    EXPECT_EQ(states_[1].index, 6U);
}

// Guards against the fault of docs/incidents/list-of-a-deposed-leader.md: a front keeps a
// list that a deposed leader of the version before published under its successor's term,
// and refuses the lists of the successor until that has published as many.
TEST_F(core_links_test, a_list_under_the_term_of_another_leader_gives_way)
{
    const base::endpoint first = free_endpoint();
    const base::endpoint second = free_endpoint();
    fake_core old(loop_, first, true, {first, second});
    fake_core successor(loop_, second, false, {first, second});
    connect({first, second});
    ASSERT_TRUE(run_until(loop_, [&] { return old.reports > 0; }));
    old.send(listing(2, 8, 3));
    ASSERT_TRUE(run_until(loop_, [&] { return listings_.size() == 1; }));
    old.leads = false;
    old.send(listing(3, 9, 4));
    ASSERT_TRUE(run_until(loop_, [&] { return listings_.size() == 2; }));
    successor.leads = true;
    successor.term = 3;
    ASSERT_TRUE(run_until(loop_, [&] { return links_->leader() == second; }));
    successor.send(listing(3, 1, 5));
    EXPECT_TRUE(run_until(loop_, [&] { return listings_.size() == 3; }));
    EXPECT_EQ(listings_, (std::vector<std::size_t>{3, 4, 5}));
    EXPECT_TRUE(run_until(loop_, [&] { return successor.held_sequence == 1; }));
}

// Guards against a front that follows whichever of two leaders answered last.
TEST_F(core_links_test, answers_of_a_deposed_leader_are_refused)
{
    const base::endpoint first = free_endpoint();
    const base::endpoint second = free_endpoint();
    fake_core old(loop_, first, true, {first, second});
    fake_core successor(loop_, second, true, {first, second});
    old.term = 2;
    old.names_share = true;
    successor.term = 3;
    successor.suspects_number = 7;
    connect({first, second});
    ASSERT_TRUE(run_until(loop_, [&] { return links_->leader() == second; }));
    const int reports = old.reports;
    share_.reset();
    // Until it has answered once more. Reports to other members are rare then.
    EXPECT_TRUE(run_until(
        loop_,
        [&] {
            EXPECT_NE(links_->leader(), first);
            return old.reports > reports;
        },
        20.0));
    EXPECT_FALSE(share_);
}

// Guards against numbers of one leader that are taken for those of another, and against
// zones that are not reported to a process that leads again without its counts.
TEST_F(core_links_test, the_same_process_in_a_later_term_is_told_everything_again)
{
    const base::endpoint first = free_endpoint();
    fake_core leader(loop_, first, true, {first});
    leader.term = 3;
    leader.suspects_number = 7;
    leader.gatherers_number = 5;
    seen_ = {{base::zone_id("z"), 10, 200}};
    connect({first});
    ASSERT_TRUE(run_until(
        loop_, [&] { return leader.zones_reported["z"] == 1 && !suspects_.empty(); }));
    ASSERT_EQ(leader.suspects_sent, 1);
    ASSERT_EQ(gatherers_.size(), 1U);
    leader.term = 5;
    EXPECT_TRUE(run_until(loop_, [&] { return leader.zones_reported["z"] == 2; }));
    EXPECT_TRUE(run_until(loop_, [&] { return leader.suspects_sent == 2; }));
    // The gatherers stay until the new choice replaces them.
    ASSERT_TRUE(run_until(loop_, [&] { return gatherers_.size() == 2; }));
    EXPECT_EQ(gatherers_[1].size(), 1U);
}

// Guards against a packed list that is ignored, and against a damaged one that is passed
// on.
TEST_F(core_links_test, a_packed_list_is_read_and_a_damaged_one_is_not)
{
    const base::endpoint first = free_endpoint();
    fake_core leader(loop_, first, true, {first});
    connect({first});
    ASSERT_TRUE(run_until(loop_, [&] { return leader.reports > 0; }));
    const auto frame = wire::encode_frame(listing(2, 1, 300));
    wire::packed_envelope_message packed;
    packed.data = wire::pack_envelope(frame);
    EXPECT_LT(packed.data.size(), frame.size() / 2);
    wire::packed_envelope_message damaged;
    damaged.data = {9, 0, 0, 0, 1, 2, 3};
    leader.send(damaged);
    leader.send(packed);
    ASSERT_TRUE(run_until(loop_, [&] { return !listings_.empty(); }));
    EXPECT_EQ(listings_, std::vector<std::size_t>{300});
}

// Guards against a suspect that stays after the leader has taken it back, and against a
// change that is applied to other suspects than those it belongs to.
TEST_F(core_links_test, a_change_of_the_suspects_is_applied_to_those_it_names)
{
    const base::endpoint first = free_endpoint();
    fake_core leader(loop_, first, true, {first});
    leader.suspects_number = 7;
    connect({first});
    ASSERT_TRUE(run_until(loop_, [&] { return !suspects_.empty(); }));
    leader.suspects_base = 6;
    leader.suspects_number = 8;
    const int reports = leader.reports;
    ASSERT_TRUE(run_until(loop_, [&] { return leader.reports >= reports + 2; }));
    EXPECT_EQ(suspects_, std::set<base::target_id>{base::target_id("slow")});
    leader.suspects_base = 7;
    ASSERT_TRUE(run_until(loop_, [&] {
        return suspects_ == std::set<base::target_id>{base::target_id("late")};
    }));
}

// Guards against suspects that the leader sends again with each report although the set
// has not changed, and against suspects that remain after their leader has stopped
// responding.
TEST_F(core_links_test, suspects_are_sent_once_and_end_with_their_leader)
{
    const base::endpoint first = free_endpoint();
    fake_core leader(loop_, first, true, {first});
    leader.suspects_number = 7;
    connect({first});
    ASSERT_TRUE(run_until(loop_, [&] { return !suspects_.empty(); }));
    const int reports = leader.reports;
    ASSERT_TRUE(run_until(loop_, [&] { return leader.reports >= reports + 2; }));
    EXPECT_EQ(leader.suspects_sent, 1);
    leader.answers = false;
    EXPECT_TRUE(run_until(loop_, [&] { return suspects_.empty(); }));
}

// Guards against gatherers that are lost with the leader, whose successor names them
// later, and against a choice that is passed on with each report.
TEST_F(core_links_test, gatherers_are_passed_on_once_and_stay_without_a_leader)
{
    const base::endpoint first = free_endpoint();
    fake_core leader(loop_, first, true, {first});
    leader.gatherers_number = 4;
    connect({first});
    ASSERT_TRUE(run_until(loop_, [&] { return !gatherers_.empty(); }));
    EXPECT_EQ(gatherers_[0].size(), 1U);
    EXPECT_EQ(gatherers_[0][0].address, (base::endpoint{"10.0.0.7", 7381}));
    const int reports = leader.reports;
    ASSERT_TRUE(run_until(loop_, [&] { return leader.reports >= reports + 2; }));
    leader.answers = false;
    ASSERT_TRUE(run_until(loop_, [&] { return !links_->leader(); }));
    EXPECT_EQ(gatherers_.size(), 1U);
}

// Guards against reports that repeat what the leader knows, which cross zones too, and
// against a share that goes on after the leader has ended it.
TEST_F(core_links_test, what_was_seen_of_zones_is_reported_once_and_a_share_passed_on)
{
    const base::endpoint first = free_endpoint();
    fake_core leader(loop_, first, true, {first});
    leader.names_share = true;
    seen_ = {{base::zone_id("z"), 5, 50}, {base::zone_id("y"), 1, 10}};
    connect({first});
    ASSERT_TRUE(run_until(loop_, [&] { return leader.zones_reported["z"] == 1; }));
    EXPECT_EQ(share_,
              (deployment::zone_share{base::zone_id("z"), base::zone_id("y"), 0.25}));
    seen_[0].successes = 6;
    leader.names_share = false;
    ASSERT_TRUE(run_until(loop_, [&] { return leader.zones_reported["z"] == 2; }));
    EXPECT_EQ(leader.zones_reported["y"], 1);
    EXPECT_TRUE(run_until(loop_, [&] { return !share_; }));
}

// Guards against a front that takes the share of a roll-out for newer than it is, as its
// answer was long on its way, and against open requests that the leader doesn't know of.
TEST_F(core_links_test, shares_of_rollouts_are_as_old_as_the_report_that_asked)
{
    const base::endpoint first = free_endpoint();
    fake_core leader(loop_, first, true, {first});
    leader.answer_delay = base::duration(50);
    connect({first});
    ASSERT_TRUE(run_until(loop_, [&] { return !rollout_shares_.empty(); }));
    EXPECT_EQ(rollout_shares_[0].share, 0.25);
    EXPECT_LE(shares_at_, leader.reported_at);
    EXPECT_TRUE(run_until(loop_, [&] { return leader.open["v1"] == 2; }));
}

// Guards against a leader that hears of a team's rise only with the regular reports, and
// may be lost before.
TEST_F(core_links_test, a_report_that_is_wanted_soon_leaves_with_the_next_tick)
{
    const base::endpoint first = free_endpoint();
    fake_core leader(loop_, first, true, {first});
    wanted_interval_ = core_links::tick_interval;
    connect({first});
    ASSERT_TRUE(run_until(loop_, [&] { return fronts_ == 3; }));
    // One of some reports is enough: a busy machine may delay the others.
    const base::monotonic_clock clock;
    base::duration min_interval = core_links::report_interval;
    for (int i = 0; i < 8; ++i) {
        const int before = leader.reports;
        const base::instant since = clock.now();
        ASSERT_TRUE(run_until(loop_, [&] { return leader.reports > before; }));
        min_interval = std::min(min_interval, clock.now() - since);
    }
    EXPECT_LT(min_interval, core_links::report_interval * 3 / 4);
}

// Guards against a connection that stays in use although the member at its other end no
// longer responds.
TEST_F(core_links_test, a_member_that_stops_answering_gets_a_new_connection)
{
    const base::endpoint first = free_endpoint();
    fake_core leader(loop_, first, true, {first});
    connect({first});
    ASSERT_TRUE(run_until(loop_, [&] { return links_->live_members() == 1; }));
    leader.answers = false;
    ASSERT_TRUE(run_until(loop_, [&] { return links_->live_members() == 0; }));
    EXPECT_TRUE(run_until(loop_, [&] { return leader.accepted >= 2; }));
}

// Guards against fronts that all connect anew to all other members when the leader stops
// responding, because those have had no report for longer than a response may take.
TEST_F(core_links_test, the_loss_of_the_leader_keeps_the_connections_to_the_others)
{
    const base::endpoint first = free_endpoint();
    const base::endpoint second = free_endpoint();
    fake_core leader(loop_, first, true, {first, second});
    fake_core follower(loop_, second, false, {first, second});
    connect({first, second});
    ASSERT_TRUE(run_until(loop_, [&] { return links_->live_members() == 2; }));
    constexpr double longer_than_a_response_s = 2.0;
    run_until(
        loop_, [] { return false; }, longer_than_a_response_s);
    const int reports = follower.reports;
    leader.answers = false;
    ASSERT_TRUE(run_until(loop_, [&] { return follower.reports >= reports + 3; }));
    EXPECT_EQ(follower.accepted, 1);
    EXPECT_EQ(links_->live_members(), 1U);
}

} // namespace
} // namespace curranthoist::coreclient
