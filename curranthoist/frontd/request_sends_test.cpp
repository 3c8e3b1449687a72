#include "curranthoist/frontd/kept_records.hpp"
#include "curranthoist/frontd/request_sends.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace curranthoist::frontd {
namespace {

std::string record(char first)
{
    return std::string(16, first);
}

// Guards against an answer that names two parts of one shard: a merged report comes after
// the answer to a second send for one of its shards, which was reported by itself.
TEST(request_sends_test, a_merged_report_takes_the_place_of_a_single_one)
{
    request_sends sends;
    sends.add_report({{0}, {"second-0"}, record('a')});
    target_send& second = sends.add(3);
    second.shard = 0;
    second.report = 0;
    sends.add_report({{0, 1, 2}, {"first-0", "first-1", "first-2"}, record('b')});
    for (const forwarding::call_id call : {1U, 2U}) {
        target_send& sent = sends.add(call);
        sent.shard = call;
        sent.report = 1;
    }
    const std::vector<forwarding::call_id> answers{3, 1, 2};
    const auto answer = sends.gathered_response(answers, 3, 5);
    EXPECT_EQ(answer.headers.at("Part-Stamps"), "first-0, first-1, first-2");
    EXPECT_EQ(answer.headers.at("Missing-Parts"), "0");
    EXPECT_EQ(answer.body, record('b'));
}

// Guards against parts that are left out although they came by themselves.
TEST(request_sends_test, single_reports_stand_beside_a_merged_one)
{
    request_sends sends;
    sends.add_report({{0, 1}, {"first-0", "first-1"}, record('b')});
    sends.add_report({{2}, {"second-2"}, record('c')});
    for (const forwarding::call_id call : {1U, 2U, 3U}) {
        target_send& sent = sends.add(call);
        sent.shard = call - 1;
        sent.report = call == 3 ? 1 : 0;
    }
    const std::vector<forwarding::call_id> answers{1, 2, 3};
    const auto answer = sends.gathered_response(answers, 3, 5);
    EXPECT_EQ(answer.headers.at("Part-Stamps"), "first-0, first-1, second-2");
    EXPECT_EQ(answer.body, record('c') + record('b'));
}

// Guards against queries that hold whole answers while they wait for their last shard.
TEST(request_sends_test, an_answer_is_reduced_to_its_greatest_records)
{
    constexpr std::size_t many = 1000;
    const auto memory = std::make_shared<http::memory_account>(many * 16);
    platform::target_response answer;
    answer.content.held_memory =
        std::make_shared<http::memory_account::reservation>(memory);
    ASSERT_TRUE(answer.content.held_memory->grow(many * 16));
    for (std::size_t i = 0; i < many; ++i) {
        answer.content.body += record(static_cast<char>('a' + i % 20));
    }
    keep_greatest_records(answer, 2);
    EXPECT_EQ(answer.content.body, record('t') + record('t'));
    EXPECT_LT(answer.content.body.capacity(), 100U);
    EXPECT_EQ(memory->used(), 0U);
}

} // namespace
} // namespace curranthoist::frontd
