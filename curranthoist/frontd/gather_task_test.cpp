#include "curranthoist/frontd/gather_task.hpp"
#include "curranthoist/frontd/task_context.hpp"

#include <ev++.h>
#include <gtest/gtest.h>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace curranthoist::frontd {
namespace {

using base::duration;
using base::instant;

// Accepts connections and never answers.
class silent_server
{
public:
    silent_server()
        : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        auto* const generic = reinterpret_cast<sockaddr*>(&address);
        EXPECT_EQ(::bind(descriptor_, generic, size), 0);
        EXPECT_EQ(::listen(descriptor_, 8), 0);
        EXPECT_EQ(::getsockname(descriptor_, generic, &size), 0);
        port_ = ntohs(address.sin_port);
    }
    ~silent_server() { ::close(descriptor_); }
    silent_server(const silent_server&) = delete;
    silent_server& operator=(const silent_server&) = delete;

    [[nodiscard]] std::uint16_t port() const { return port_; }
    // Resets a connection whose request has come.
    void reset_request()
    {
        if (accepted_ < 0) {
            accepted_ = ::accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK);
        }
        char byte = 0;
        if (accepted_ >= 0 && ::recv(accepted_, &byte, 1, 0) > 0) {
            const linger reset{1, 0};
            ::setsockopt(accepted_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
            ::close(std::exchange(accepted_, -1));
        }
    }

private:
    int descriptor_;
    int accepted_ = -1;
    std::uint16_t port_ = 0;
};

// A gatherer whose targets listen on loopback; parts of its route take 100 ms.
class gather_task_test : public ::testing::Test
{
protected:
    gather_task_test()
    {
        for (int i = 0; i < 64; ++i) {
            context_.latencies["r"].add(duration(100));
        }
    }
    // Lists one target of each service.
    void list(const std::vector<std::pair<std::string, std::uint16_t>>& services)
    {
        deployment::listing_change change;
        change.read_at = clock_.now();
        for (const auto& [service, port] : services) {
            change.targets.push_back({base::target_id("t" + service),
                                      base::service_id(service),
                                      base::zone_id("z"),
                                      {"127.0.0.1", port},
                                      false,
                                      {}});
        }
        context_.directory.apply(change);
    }
    // Starts a task with a part of each service.
    void start(std::vector<std::string> services,
               const gather_task::report_handler& on_report)
    {
        wire::gather_request_message message;
        message.id = 1;
        message.route = "r";
        message.method = "GET";
        message.target = "/q";
        message.time_left_ms = 600;
        message.objective_ms = 400;
        message.services = std::move(services);
        flatbuffers::FlatBufferBuilder builder;
        builder.Finish(wire::gather_request::Pack(builder, &message));
        task_ = std::make_shared<gather_task>(
            context_,
            *flatbuffers::GetRoot<wire::gather_request>(builder.GetBufferPointer()),
            nullptr);
        began_ = clock_.now();
        task_->start({}, on_report, [this] { ended_ = true; });
    }

    base::monotonic_clock clock_;
    ev::dynamic_loop loop_;
    task_context context_{
        .loop = loop_,
        .directory =
            forwarding::target_directory({base::zone_id("z"), "vm-1", duration(800)}),
        .budget = forwarding::extra_send_budget({0.2, 100.0, duration(10'000)}),
        .pool{loop_, std::make_shared<http::memory_account>(1024 * 1024), 10},
        .random = base::random_source(1),
        .metrics = {},
        .latencies = {}};
    std::shared_ptr<gather_task> task_;
    instant began_;
    bool ended_ = false;
};

// Guards against a part that waits for a connection on a gatherer until the query's
// deadline: its process can't tell it from one that may have run, and answers 504.
TEST_F(gather_task_test, a_part_that_waits_is_reported_as_not_run_before_the_deadline)
{
    const silent_server server;
    list({{"s", server.port()}});
    // Takes the only connection.
    context_.pool.client(base::target_id("ts"), {"127.0.0.1", server.port()}, 1)
        .start({.time_limit = duration(5000)}, [](const http::target_result&) {});
    std::vector<wire::ungathered_reason> reasons;
    start({"s"}, [&reasons](const wire::gather_report_message& report) {
        for (const auto& one : report.ungathered) {
            reasons.push_back(one->reason);
        }
    });
    const instant limit = began_ + duration(590);
    while (!ended_ && clock_.now() < limit) {
        loop_.run(ev::NOWAIT);
        ::usleep(1000);
    }
    EXPECT_TRUE(ended_);
    EXPECT_EQ(reasons, (std::vector{wire::ungathered_reason::pending,
                                    wire::ungathered_reason::not_run}));
    EXPECT_GE(clock_.now() - began_, duration(490));
}

// Guards against a part whose connection is reset and which is sent again only when the
// gatherer has waited for the slow parts as well.
TEST_F(gather_task_test, a_part_that_failed_is_reported_before_the_others)
{
    silent_server resetting;
    const silent_server silent;
    list({{"a", resetting.port()}, {"b", silent.port()}});
    std::vector<std::vector<std::pair<std::uint32_t, wire::ungathered_reason>>> reports;
    start({"a", "b"}, [&reports](const wire::gather_report_message& report) {
        EXPECT_TRUE(report.parts.empty());
        auto& parts = reports.emplace_back();
        for (const auto& one : report.ungathered) {
            parts.emplace_back(one->shard, one->reason);
        }
    });
    while (reports.size() < 2 && clock_.now() < began_ + duration(590)) {
        resetting.reset_request();
        loop_.run(ev::NOWAIT);
        ::usleep(1000);
    }
    using wire::ungathered_reason;
    ASSERT_EQ(reports.size(), 2U);
    EXPECT_EQ(reports[0], (std::vector{std::pair(0U, ungathered_reason::failed)}));
    EXPECT_EQ(reports[1], (std::vector{std::pair(0U, ungathered_reason::failed),
                                       std::pair(1U, ungathered_reason::pending)}));
}

} // namespace
} // namespace curranthoist::frontd
