// The list of targets as it comes from a server in trouble.
#include "curranthoist/cored/target_list_reader.hpp"
#include "curranthoist/http/internal/raw_peer.hpp"
#include "curranthoist/testing/endless_server.hpp"

#include <gtest/gtest.h>

#include <ctime>
#include <optional>
#include <string>
#include <vector>

namespace curranthoist::cored {
namespace {

using http::internal::run_until;
using testing::endless_server;

constexpr double calls_per_s = 20;
constexpr base::term first_term{3};
constexpr base::term later_term{5};

double processor_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

class target_list_reader_test : public ::testing::Test
{
protected:
    // Reads the list of a server that sends `head` and then `filler` without end.
    void read_from(const std::string& head, const std::string& filler)
    {
        server_.emplace(head, filler);
        reader_.emplace(loop_, server_->local(), calls_per_s,
                        [this](base::term term,
                               const std::vector<deployment::listed_target>& targets,
                               base::instant /*read_at*/) {
                            lists_ += 1;
                            targets_ = targets.size();
                            terms_.push_back(term);
                        });
        reader_->start(first_term);
    }

    ev::dynamic_loop loop_;
    std::optional<endless_server> server_;
    std::optional<target_list_reader> reader_;
    std::size_t lists_ = 0;
    std::size_t targets_ = 0;
    std::vector<base::term> terms_;
};

// Guards against a list without end that is taken for a list, that is read on until its
// time limit, and against a reader that does not ask again.
TEST_F(target_list_reader_test, a_list_without_end_is_cut_off_and_asked_for_again)
{
    struct endless_bytes
    {
        const char* head;
        const char* filler;
    };
    const std::vector<endless_bytes> cases{
        {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
        {"HTTP/1.1 200 OK\r\nX: ", "y"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\n \r\n"},
        {"HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", "["},
        {"", "\x16\x03\x01"},
    };
    for (const endless_bytes& one : cases) {
        const std::string shown = std::string(one.head) + one.filler;
        std::string filler;
        for (int i = 0; i < 1000; ++i) {
            filler += one.filler;
        }
        const double before = processor_seconds();
        read_from(one.head, filler);
        EXPECT_TRUE(run_until(
            loop_, [this] { return server_->closed() >= 2; }, 20.0))
            << shown;
        EXPECT_EQ(lists_, 0U) << shown;
        // Both ends of two readings, each of which takes 0.7 s at most.
        EXPECT_LT(processor_seconds() - before, 2 * 2 * 0.7) << shown;
        reader_.reset();
    }
}

// Guards against a whole list that is not used because of the bytes behind it.
TEST_F(target_list_reader_test, a_whole_list_counts_whatever_follows_it)
{
    const std::string body =
        R"({"instances":[{"service":"s","address":"10.0.0.9:8080","zone":"z",)"
        R"("version":"v1","slots":2,"state":"ready","cold_remaining_ms":0,"id":"i-1"}],)"
        R"("next_page_token":null})";
    read_from("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                  "\r\n\r\n" + body,
              "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    EXPECT_TRUE(run_until(loop_, [this] { return lists_ >= 2; }));
    EXPECT_EQ(targets_, 1U);
}

// Guards against a list that was read for an earlier term and is published under the
// term in which its reader leads again.
TEST_F(target_list_reader_test, a_reading_of_an_earlier_term_is_not_finished_in_another)
{
    const std::string body = R"({"instances":[],"next_page_token":null})";
    read_from("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                  "\r\n\r\n" + body,
              "");
    // The first reading is under way. The loss of the lead went unnoticed.
    reader_->start(later_term);
    ASSERT_TRUE(run_until(loop_, [this] { return lists_ >= 1; }));
    EXPECT_EQ(terms_, std::vector<base::term>{later_term});
    reader_->stop();
}

} // namespace
} // namespace curranthoist::cored
