#pragma once

#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/http/target_call.hpp"
#include "curranthoist/http/target_result.hpp"
#include "curranthoist/testing/child_process.hpp"
#include "curranthoist/testing/wait_until.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace curranthoist::testing {

// Base of process-level tests. It starts programs of the build on loopback addresses of
// their own, talks HTTP to them, and kills what still runs at the end of the test:
//
//     class drain_test : public testing::process_fixture {};
//     TEST_F(drain_test, ...)
//     {
//         const std::string address = new_address();
//         auto& target = start("curranthoist-target", {"--listen", address + ":80",
//         ...}); ASSERT_TRUE(wait_until_ready({address, 80}, "/v1/status"));
//         target.send_signal(SIGTERM);
//         EXPECT_EQ(target.wait_for_exit(), 0);
//     }
class process_fixture : public ::testing::Test
{
protected:
    process_fixture();
    ~process_fixture() override;
    process_fixture(const process_fixture&) = delete;
    process_fixture& operator=(const process_fixture&) = delete;

    // A loopback address that no other test process and no earlier call has, so that
    // ports can be fixed.
    std::string new_address();
    // A folder for the test's files; removed after the test.
    [[nodiscard]] const std::string& folder() const { return folder_; }
    // Starts a program of the build. The reference is valid until the end of the test.
    // Its output goes to the named file; by default to one of its own.
    child_process& start(std::string_view program,
                         const std::vector<std::string>& arguments,
                         const std::string& output = "");

    // Sends one request on a new connection and waits for its result.
    static http::target_result send(const base::endpoint& remote, http::target_call call);
    // GET; JSON null unless the status is 200 and the body is JSON.
    static nlohmann::json get_json(const base::endpoint& remote, const std::string& path);
    // POST of a JSON body; returns the result.
    static http::target_result post_json(const base::endpoint& remote,
                                         const std::string& path,
                                         const nlohmann::json& body);
    // Polls until GET of the path answers 200; false if it does not within the limit.
    static bool wait_until_ready(const base::endpoint& remote,
                                 const std::string& path = "/ready",
                                 base::duration limit = base::duration(10'000));

private:
    // Prints the end of what each process wrote.
    void print_outputs() const;

    std::string folder_;
    unsigned last_address_ = 0;
    std::vector<std::unique_ptr<child_process>> children_;
};

} // namespace curranthoist::testing
