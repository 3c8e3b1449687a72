#include "curranthoist/consensus/replica_host.hpp"
#include "curranthoist/consensus/wire_codec.hpp"
#include "curranthoist/testing/loopback.hpp"
#include "curranthoist/wire/peer_dialer.hpp"

#include <gtest/gtest.h>

#include <array>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>

#include <unistd.h>

namespace curranthoist::consensus {
namespace {

// Keeps the commands in order.
class command_list
{
public:
    void apply(base::log_index /*index*/, std::span<const std::uint8_t> bytes)
    {
        bytes_.insert(bytes_.end(), bytes.begin(), bytes.end());
    }
    [[nodiscard]] std::vector<std::uint8_t> snapshot() const { return bytes_; }
    void restore(std::span<const std::uint8_t> bytes)
    {
        bytes_.assign(bytes.begin(), bytes.end());
    }
    [[nodiscard]] std::string text() const { return {bytes_.begin(), bytes_.end()}; }

private:
    std::vector<std::uint8_t> bytes_;
};

constexpr std::uint16_t first_port = 7100;
const std::string testing_address = testing::loopback_address(1);
constexpr double wait_limit_s = 10.0;

class replica_host_test : public ::testing::Test
{
protected:
    struct running
    {
        explicit running(const std::string& folder)
            : disk(folder)
            , store(disk)
        {}
        storage::posix_disk disk;
        storage::log_store<storage::posix_disk> store;
        command_list machine;
        std::unique_ptr<replica_host<command_list>> host;
    };

    void SetUp() override
    {
        std::string pattern = ::testing::TempDir() + "replica_host_test_XXXXXX";
        ASSERT_NE(::mkdtemp(pattern.data()), nullptr);
        root_ = pattern;
        std::vector<member> initial;
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
            initial.push_back({id(i), address(i), member_role::voter});
        }
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
            initialise(i, {first_log_entry(membership(initial))});
            start(i);
        }
    }
    void TearDown() override
    {
        hosts_ = {};
        extra_.reset();
        std::filesystem::remove_all(root_);
    }
    static base::member_id id(std::size_t i)
    {
        return base::member_id("c" + std::to_string(i));
    }
    static base::endpoint address(std::size_t i)
    {
        return {testing_address, static_cast<std::uint16_t>(first_port + i)};
    }
    [[nodiscard]] std::string folder(std::size_t i) const
    {
        return root_ + "/" + id(i).str();
    }
    void initialise(std::size_t i, const std::vector<storage::log_entry>& first)
    {
        std::filesystem::create_directory(folder(i));
        storage::posix_disk disk(folder(i));
        storage::log_store<storage::posix_disk>::initialise(disk, id(i), first);
    }
    std::unique_ptr<running> make(std::size_t i)
    {
        host_options options;
        options.listen = address(i);
        options.seed = i + 1;
        options.entries_per_snapshot = 20;
        options.replica.retained_entries = 0;
        options.on_fatal = [](const std::string& reason) { ADD_FAILURE() << reason; };
        auto result = std::make_unique<running>(folder(i));
        result->host = std::make_unique<replica_host<command_list>>(
            loop_, result->store, result->machine, options,
            [this](std::unique_ptr<peer_session> session, const wire::hello& hello) {
                entry_id_ = hello.id()->str();
                entry_session_ = std::move(session);
            });
        return result;
    }
    void start(std::size_t i) { hosts_[i] = make(i); }

    // Runs the loop until the condition holds; fails the test after a limit.
    void wait_for(const std::function<bool()>& condition)
    {
        ev::timer limit(loop_);
        limit.set<replica_host_test, &replica_host_test::on_timer>(this);
        limit.start(wait_limit_s);
        limit_reached_ = false;
        // The condition is not evaluated again after it held: it may start something.
        bool holds = condition();
        while (!holds && !limit_reached_) {
            loop_.run(ev::ONCE);
            holds = condition();
        }
        EXPECT_TRUE(holds) << "condition did not hold before the limit";
    }
    void on_timer(ev::timer& /*watcher*/, int /*events*/) { limit_reached_ = true; }

    // The index of the leading host; hosts_.size() if none leads.
    std::size_t leader()
    {
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
            if (hosts_[i] && hosts_[i]->host->is_leader()) {
                return i;
            }
        }
        return hosts_.size();
    }
    std::size_t wait_for_leader()
    {
        wait_for([this] { return leader() < hosts_.size(); });
        return leader();
    }
    void propose_and_wait(char command)
    {
        std::optional<proposal_outcome> outcome;
        hosts_[wait_for_leader()]->host->propose(
            {static_cast<std::uint8_t>(command)},
            [&outcome](proposal_outcome result, base::log_index) { outcome = result; });
        EXPECT_FALSE(outcome) << "the callback ran inside propose()";
        wait_for([&] { return outcome.has_value(); });
        EXPECT_EQ(outcome, proposal_outcome::applied);
    }
    void wait_for_text(const running& one, const std::string& text)
    {
        wait_for([&] { return one.machine.text() == text; });
    }

    ev::dynamic_loop loop_;
    std::string root_;
    bool limit_reached_ = false;
    std::string entry_id_;
    std::unique_ptr<peer_session> entry_session_;
    std::array<std::unique_ptr<running>, 3> hosts_;
    std::unique_ptr<running> extra_;
};

// Guards against a member that misses or repeats entries after a stop and a restart.
TEST_F(replica_host_test, restarted_member_catches_up_with_what_was_committed_meanwhile)
{
    propose_and_wait('a');
    const std::size_t stopped = wait_for_leader();
    hosts_[stopped].reset();
    propose_and_wait('b');
    start(stopped);
    propose_and_wait('c');
    for (const auto& one : hosts_) {
        wait_for_text(*one, "abc");
    }
}

// Guards against a log snapshot that loses entries on its way to disk or to a follower.
TEST_F(replica_host_test, member_far_behind_catches_up_by_log_snapshot)
{
    const std::size_t stopped = (wait_for_leader() + 1) % hosts_.size();
    hosts_[stopped].reset();
    std::string expected;
    for (int i = 0; i < 50; ++i) {
        expected.push_back(static_cast<char>('a' + i % 26));
        propose_and_wait(expected.back());
    }
    ASSERT_GT(hosts_[leader()]->host->status().snapshot_index.value(), 0U);
    start(stopped);
    wait_for_text(*hosts_[stopped], expected);
    // The same state must come back from its disk alone.
    hosts_[stopped].reset();
    start(stopped);
    wait_for_text(*hosts_[stopped], expected);
}

// Guards against a replacement that is reported as finished too early or never.
TEST_F(replica_host_test, new_member_replaces_one_that_lost_its_disk)
{
    propose_and_wait('a');
    const std::size_t lost = (wait_for_leader() + 1) % hosts_.size();
    hosts_[lost].reset();
    const std::size_t added = hosts_.size();
    initialise(added, {});
    extra_ = make(added);
    auto& host = *hosts_[wait_for_leader()]->host;
    using kind = membership_change::change_kind;
    EXPECT_EQ(host.change_membership({kind::add_learner, id(added), address(added), {}}),
              "");
    wait_for([&] {
        return host.change_membership({kind::promote, id(added), {}, id(lost)}).empty();
    });
    wait_for([&] {
        const auto repair = host.status().repair;
        return repair && repair->finished && repair->replacement == id(added);
    });
    EXPECT_EQ(host.status().members.find(id(lost)), nullptr);
    wait_for_text(*extra_, "a");
}

// Guards against a planned stop that waits for an election timeout, and against a read
// that is confirmed by a deposed leader.
TEST_F(replica_host_test, leadership_moves_on_request_and_reads_follow_it)
{
    propose_and_wait('a');
    const std::size_t old = wait_for_leader();
    EXPECT_TRUE(hosts_[old]->host->transfer_leadership());
    wait_for([&] { return leader() < hosts_.size() && leader() != old; });
    std::optional<bool> by_new;
    std::optional<bool> by_old;
    hosts_[leader()]->host->confirm_read([&](bool confirmed) { by_new = confirmed; });
    hosts_[old]->host->confirm_read([&](bool confirmed) { by_old = confirmed; });
    wait_for([&] { return by_new && by_old; });
    EXPECT_EQ(by_new, true);
    EXPECT_EQ(by_old, false);
}

// Guards against a deposed leader that acts, and names the term of its successor as its
// own, between the message that tells of that term and its next turn of the loop.
TEST_F(replica_host_test, a_leader_that_reads_of_a_later_term_acts_no_longer)
{
    propose_and_wait('a');
    const std::size_t old = wait_for_leader();
    const std::size_t successor = (old + 1) % hosts_.size();
    const replica_host<command_list>& host = *hosts_[old]->host;
    const base::term led = host.status().term;
    std::unique_ptr<wire::peer_dialer> dialer;
    dialer = std::make_unique<wire::peer_dialer>(
        loop_, address(old),
        [&] {
            wire::hello_message hello;
            hello.protocol = wire::protocol_version;
            hello.sender = wire::role::control;
            hello.id = id(successor).str();
            dialer->send(std::move(hello));
            append_request heartbeat;
            heartbeat.term = led.next();
            heartbeat.leader = id(successor);
            dialer->send_frame(to_frame(heartbeat));
        },
        [](const wire::envelope&) {}, [](const std::string&) {});
    wait_for([&] {
        const bool is_deposed = host.status().term > led;
        EXPECT_FALSE(is_deposed && host.is_leader());
        return is_deposed;
    });
}

// Guards against proposals that are acknowledged without a quorum or never answered.
TEST_F(replica_host_test, proposal_without_quorum_ends_as_unknown)
{
    const std::size_t last = wait_for_leader();
    std::optional<proposal_outcome> outcome;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        if (i != last) {
            hosts_[i].reset();
        }
    }
    hosts_[last]->host->propose(
        {1}, [&](proposal_outcome result, base::log_index) { outcome = result; });
    wait_for([&] { return outcome.has_value(); });
    EXPECT_EQ(outcome, proposal_outcome::unknown);
    EXPECT_FALSE(hosts_[last]->host->is_leader());
}

// Guards against entry VMs' connections that are kept or closed by the host.
TEST_F(replica_host_test, hands_over_connections_of_entry_vms)
{
    std::optional<std::string> greeted_by;
    bool received = false;
    std::unique_ptr<wire::peer_dialer> dialer;
    dialer = std::make_unique<wire::peer_dialer>(
        loop_, address(0),
        [&] {
            wire::hello_message hello;
            hello.protocol = wire::protocol_version;
            hello.sender = wire::role::entry;
            hello.id = "vm-1";
            dialer->send(std::move(hello));
        },
        [&](const wire::envelope& message) {
            if (const auto* hello = message.body_as_hello()) {
                greeted_by = hello->id()->str();
            }
            received = received || message.body_as_heartbeat_reply() != nullptr;
        },
        [](const std::string&) {});
    wait_for([&] { return entry_session_ != nullptr && greeted_by.has_value(); });
    EXPECT_EQ(entry_id_, "vm-1");
    EXPECT_EQ(greeted_by, id(0).str());
    entry_session_->send(wire::heartbeat_reply_message());
    wait_for([&] { return received; });
}

} // namespace
} // namespace curranthoist::consensus
