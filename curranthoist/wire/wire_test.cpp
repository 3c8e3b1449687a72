#include "curranthoist/testing/loopback.hpp"
#include "curranthoist/wire/peer_connection.hpp"
#include "curranthoist/wire/peer_dialer.hpp"
#include "curranthoist/wire/peer_listener.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <optional>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace curranthoist::wire {
namespace {

constexpr double run_limit_s = 5.0;

// Two connected sockets with a peer_connection on one of them.
class peer_connection_test : public ::testing::Test
{
protected:
    void SetUp() override
    {
        int sockets[2] = {-1, -1};
        ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets), 0);
        other_ = sockets[1];
        connection_ = std::make_unique<peer_connection>(
            loop_, sockets[0],
            [this](const envelope& message) {
                received_.push_back(message.body_type());
                loop_.break_loop(ev::ALL);
            },
            [this](const std::string& reason) {
                closed_ = reason;
                loop_.break_loop(ev::ALL);
            });
    }
    void TearDown() override
    {
        connection_.reset();
        ::close(other_);
    }
    void write_other(std::span<const std::uint8_t> bytes)
    {
        ASSERT_EQ(::send(other_, bytes.data(), bytes.size(), 0),
                  static_cast<ssize_t>(bytes.size()));
    }
    void run_until_event()
    {
        ev::timer limit(loop_);
        limit.set<peer_connection_test, &peer_connection_test::on_limit>(this);
        limit.start(run_limit_s);
        loop_.run(0);
    }
    void run_for(double seconds)
    {
        ev::timer end(loop_);
        end.set<peer_connection_test, &peer_connection_test::on_end>(this);
        end.start(seconds);
        loop_.run(0);
    }
    void on_end(ev::timer& /*watcher*/, int /*events*/) { loop_.break_loop(ev::ALL); }
    void on_limit(ev::timer& /*watcher*/, int /*events*/)
    {
        ADD_FAILURE() << "no event before the limit";
        loop_.break_loop(ev::ALL);
    }

    ev::dynamic_loop loop_;
    int other_ = -1;
    std::unique_ptr<peer_connection> connection_;
    std::vector<message> received_;
    std::optional<std::string> closed_;
};

part_cancel_message cancel_message()
{
    part_cancel_message result;
    result.query_id = 7;
    result.part_id = 9;
    return result;
}

TEST_F(peer_connection_test, delivers_a_frame_that_arrives_in_two_pieces)
{
    const std::vector<std::uint8_t> frame = encode_frame(cancel_message());
    const std::span<const std::uint8_t> whole(frame);
    write_other(whole.first(2));
    loop_.run(ev::NOWAIT);
    write_other(whole.subspan(2));
    run_until_event();
    EXPECT_EQ(received_, std::vector{message::part_cancel});
    EXPECT_FALSE(closed_);
}

TEST_F(peer_connection_test, closes_on_a_length_over_the_limit)
{
    const std::uint8_t prefix[] = {0xff, 0xff, 0xff, 0xff};
    write_other(prefix);
    run_until_event();
    EXPECT_EQ(closed_, "frame length out of range");
    EXPECT_FALSE(connection_->is_open());
}

TEST_F(peer_connection_test, closes_on_a_frame_that_fails_verification)
{
    const std::uint8_t garbage[] = {8, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8};
    write_other(garbage);
    run_until_event();
    EXPECT_EQ(closed_, "frame failed verification");
    EXPECT_TRUE(received_.empty());
}

TEST_F(peer_connection_test, closes_when_the_peer_connects_and_says_nothing)
{
    connection_->expect_message_within(base::duration(20));
    run_until_event();
    EXPECT_EQ(closed_, "no message in time");
}

TEST_F(peer_connection_test, a_first_message_ends_the_wait)
{
    connection_->expect_message_within(base::duration(20));
    write_other(encode_frame(cancel_message()));
    run_until_event();
    constexpr double past_the_limit_s = 0.05;
    run_for(past_the_limit_s);
    EXPECT_FALSE(closed_);
}

TEST_F(peer_connection_test, handler_may_destroy_the_connection)
{
    int sockets[2] = {-1, -1};
    ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets), 0);
    std::unique_ptr<peer_connection> doomed;
    doomed = std::make_unique<peer_connection>(
        loop_, sockets[0],
        [&](const envelope&) {
            doomed.reset();
            loop_.break_loop(ev::ALL);
        },
        [](const std::string&) {});
    std::vector<std::uint8_t> two = encode_frame(cancel_message());
    const std::vector<std::uint8_t> second = two;
    two.insert(two.end(), second.begin(), second.end());
    ASSERT_GT(::send(sockets[1], two.data(), two.size(), 0), 0);
    run_until_event();
    EXPECT_EQ(doomed, nullptr);
    ::close(sockets[1]);
}

TEST(frame_codec_test, refuses_a_message_over_the_frame_limit)
{
    part_reply_message message;
    message.body.resize(max_envelope_bytes);
    EXPECT_THROW(encode_frame(std::move(message)), std::length_error);
}

TEST(peer_dialer_test, connects_again_after_the_peer_closes)
{
    ev::dynamic_loop loop;
    const base::endpoint local{testing::loopback_address(1), 7000};
    int accepted = 0;
    const peer_listener listener(loop, local, [&](int descriptor) {
        ++accepted;
        ::close(descriptor);
        if (accepted == 2) {
            loop.break_loop(ev::ALL);
        }
    });
    const peer_dialer dialer(
        loop, local, [] {}, [](const envelope&) {}, [](const std::string&) {});
    loop.run(0);
    EXPECT_EQ(accepted, 2);
}

} // namespace
} // namespace curranthoist::wire
