#include "curranthoist/frontd/target_pool.hpp"
#include "curranthoist/http/caller_server.hpp"
#include "curranthoist/http/internal/raw_peer.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <utility>
#include <vector>

namespace curranthoist::frontd {
namespace {

using http::internal::run_until;

// A target that keeps its requests until the test answers them.
class target_pool_test : public testing::Test
{
protected:
    target_pool_test()
        : server_(loop_, {.listen = {"127.0.0.1", 0}},
                  [this](const http::caller_request& /*request*/,
                         http::responder answer) { held_.push_back(std::move(answer)); })
        , pool_(loop_, std::make_shared<http::memory_account>(1'000'000), 10)
    {}
    http::target_client::call_number start(std::optional<http::call_outcome>& outcome)
    {
        const std::size_t before = held_.size();
        const auto number = pool_.client(id_, server_.local(), 2)
                                .start({.path = "/", .time_limit = base::duration(5000)},
                                       [&outcome](const http::target_result& result) {
                                           outcome = result.outcome;
                                       });
        EXPECT_TRUE(run_until(loop_, [&] { return held_.size() > before; }));
        return number;
    }

    ev::dynamic_loop loop_;
    std::vector<http::responder> held_;
    http::caller_server server_;
    const base::target_id id_{"i-1"};
    target_pool pool_;
};

// Guards against a request that ends another one's call: the target's id was gone for
// one reading of the list, and came back with a new client whose calls had the numbers of
// the former one's.
TEST_F(target_pool_test, a_call_of_a_former_client_is_not_mistaken_for_one_of_the_next)
{
    std::optional<http::call_outcome> former;
    std::optional<http::call_outcome> next;
    const auto former_number = start(former);
    pool_.retire({id_});
    const auto next_number = start(next);
    EXPECT_NE(next_number, former_number);
    pool_.find(id_)->cancel(former_number);
    pool_.find(id_)->abandon(former_number);
    held_.at(0).respond({});
    held_.at(1).respond({});
    ASSERT_TRUE(run_until(loop_, [&] { return former && next; }));
    EXPECT_EQ(*former, http::call_outcome::ok);
    EXPECT_EQ(*next, http::call_outcome::ok);
}

// Guards against the same for a call that is taken back: it would be reported as not
// sent.
TEST_F(target_pool_test, a_number_names_no_call_of_a_later_client_of_the_same_target)
{
    const base::endpoint nobody{"127.0.0.1", 1};
    const auto ignore = [](const http::target_result&) {};
    const auto earlier = pool_.client(id_, nobody, 1).start({}, ignore);
    pool_.retire({id_});
    http::target_client& later = pool_.client(id_, nobody, 1);
    const auto number = later.start({}, ignore);
    EXPECT_NE(number, earlier);
    EXPECT_FALSE(later.withdraw(earlier));
    EXPECT_TRUE(later.withdraw(number));
}

} // namespace
} // namespace curranthoist::frontd
