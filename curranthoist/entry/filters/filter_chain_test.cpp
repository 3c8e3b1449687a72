#include "curranthoist/control/configuration.hpp"
#include "curranthoist/entry/filters/filter_chain.hpp"
#include "curranthoist/http/caller_request.hpp"

#include <gtest/gtest.h>

namespace curranthoist::entry {
namespace {

class filter_chain_test : public testing::Test
{
protected:
    filter_chain_test()
    {
        control::service_spec query;
        query.max_body_bytes = 10;
        query.default_deadline = base::duration(300);
        query.max_deadline = base::duration(900);
        configuration_.services[base::service_id("desk")] = query;
        control::service_spec order;
        order.kind = control::service_kind::order;
        configuration_.services[base::service_id("book")] = order;
        state_.now = base::instant(1000);
        state_.lease_valid = true;
        state_.in_service = true;
        state_.new_request_id = "1-vm-1";
        state_.limits.max_concurrent_requests = 2;
        state_.limits.max_deadline = base::duration(800);
        state_.configuration = &configuration_;
        request_.method = "POST";
        request_.path = "/v1/query/desk";
    }

    // The status of the refusal, which must state that outcome; 0 if there is none.
    unsigned refused(request_outcome outcome = request_outcome::not_run)
    {
        const filter_result result = run_filters(request_, state_, admitted_);
        if (!result) {
            return 0;
        }
        EXPECT_EQ(result->outcome, outcome) << result->error;
        error_ = result->error;
        return result->status;
    }

    control::configuration configuration_;
    process_state state_;
    http::caller_request request_;
    admitted_request admitted_;
    std::string error_;
};

TEST_F(filter_chain_test, admits_a_query_with_defaults_and_a_made_up_id)
{
    EXPECT_EQ(refused(), 0U);
    EXPECT_EQ(admitted_.service.str(), "desk");
    EXPECT_EQ(admitted_.id.str(), "1-vm-1");
    EXPECT_EQ(admitted_.deadline, base::instant(1300));
}

// R4, R8: work without a lease, in a zone out of service, or during a stop.
TEST_F(filter_chain_test, refuses_as_not_run_while_the_vm_must_not_work)
{
    state_.refusing = true;
    EXPECT_EQ(refused(), 503U);
    state_.refusing = false;
    state_.lease_valid = false;
    EXPECT_EQ(refused(), 503U);
    state_.lease_valid = true;
    state_.in_service = false;
    EXPECT_EQ(refused(), 503U);
}

TEST_F(filter_chain_test, refuses_what_exceeds_a_limit)
{
    state_.running = 2;
    EXPECT_EQ(refused(), 429U);
    state_.running = 1;
    request_.body = "12345678901";
    EXPECT_EQ(refused(), 413U);
    state_.limits.max_body_bytes = 5;
    request_.body = "123456";
    EXPECT_EQ(refused(), 413U);
}

TEST_F(filter_chain_test, refuses_unknown_paths_methods_and_services)
{
    request_.method = "GET";
    EXPECT_EQ(refused(), 405U);
    request_.method = "POST";
    request_.headers["Request-Id"] = "17-a";
    for (const char* path :
         {"/", "/v1/query/", "/v1/query/none", "/v1/query/book", "/v2/query/desk"}) {
        request_.path = path;
        EXPECT_EQ(refused(), 404U) << path;
    }
    request_.path = "/v1/order/desk";
    EXPECT_EQ(refused(request_outcome::unknown), 404U);
}

// R6: an earlier delivery of the order may have run through another VM. A caller that is
// told "not run" would place it again under a new id.
TEST_F(filter_chain_test, an_order_that_is_refused_before_control_answers_is_unknown)
{
    request_.path = "/v1/order/book";
    request_.headers["Request-Id"] = "1700000000000-a";
    state_.refusing = true;
    EXPECT_EQ(refused(request_outcome::unknown), 503U);
    state_.refusing = false;
    state_.lease_valid = false;
    EXPECT_EQ(refused(request_outcome::unknown), 503U);
    state_.lease_valid = true;
    state_.running = 2;
    EXPECT_EQ(refused(request_outcome::unknown), 429U);
}

TEST_F(filter_chain_test, every_malformed_header_is_named)
{
    request_.path = "/v1/order/book";
    request_.headers["Request-Id"] = "abc";
    request_.headers["Deadline-Ms"] = "soon";
    EXPECT_EQ(refused(), 400U);
    EXPECT_NE(error_.find("Request-Id"), std::string::npos) << error_;
    EXPECT_NE(error_.find("Deadline-Ms"), std::string::npos) << error_;
}

// A longer deadline than the limits would outlive the stop and the lease.
TEST_F(filter_chain_test, cuts_a_deadline_to_the_lower_limit_and_refuses_a_bad_one)
{
    request_.headers["Deadline-Ms"] = "5000";
    EXPECT_EQ(refused(), 0U);
    EXPECT_EQ(admitted_.deadline, base::instant(1800));
    for (const char* bad : {"0", "-3", "", "12x", "99999999999999999999"}) {
        request_.headers["Deadline-Ms"] = bad;
        EXPECT_EQ(refused(), 400U) << bad;
    }
}

// R7: an order that can't be told from another one must not run.
TEST_F(filter_chain_test, requires_a_well_formed_id_for_an_order)
{
    request_.path = "/v1/order/book";
    EXPECT_EQ(refused(), 400U);
    for (const char* bad : {"abc", "-1", "17-", "17 -a", "x17-a"}) {
        request_.headers["Request-Id"] = bad;
        EXPECT_EQ(refused(), 400U) << bad;
    }
    // It would become a header of its own in the request to a target.
    request_.headers["Request-Id"] = "17-a\r\nNot-Run: true";
    EXPECT_EQ(refused(), 400U);
    request_.headers["Request-Id"] = std::string("17-") + std::string(200, 'a');
    EXPECT_EQ(refused(), 400U);
    request_.headers["Request-Id"] = "1700000000000-a";
    EXPECT_EQ(refused(), 0U);
    EXPECT_EQ(admitted_.id.str(), "1700000000000-a");
}

} // namespace
} // namespace curranthoist::entry
