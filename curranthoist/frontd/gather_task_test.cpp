#include "curranthoist/frontd/gather_task.hpp"
#include "curranthoist/frontd/task_context.hpp"

#include <ev++.h>
#include <gtest/gtest.h>

#include <cstdint>
#include <memory>
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
        : descriptor_(::socket(AF_INET, SOCK_STREAM, 0))
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

private:
    int descriptor_;
    std::uint16_t port_ = 0;
};

// Guards against a part that waits for a connection on a gatherer until the query's
// deadline: its process can't tell it from one that may have run, and answers 504.
TEST(gather_task_test, a_part_that_waits_is_reported_as_not_run_before_the_deadline)
{
    const base::monotonic_clock clock;
    silent_server server;
    ev::dynamic_loop loop;
    task_context context{
        .loop = loop,
        .directory =
            forwarding::target_directory({base::zone_id("z"), "vm-1", duration(800)}),
        .budget = forwarding::extra_send_budget({0.2, 100.0, duration(10'000)}),
        .pool{loop, std::make_shared<http::memory_account>(1024 * 1024), 10},
        .random = base::random_source(1),
        .metrics = {},
        .latencies = {}};
    const base::target_id target("t");
    const base::endpoint address{"127.0.0.1", server.port()};
    context.directory.apply(
        {.targets =
             {{target, base::service_id("s"), base::zone_id("z"), address, false, {}}},
         .read_at = clock.now()});
    for (int i = 0; i < 64; ++i) {
        context.latencies["r"].add(duration(100));
    }
    // Takes the only connection.
    context.pool.client(target, address, 1)
        .start({.time_limit = duration(5000)}, [](const http::target_result&) {});

    wire::gather_request_message message;
    message.id = 1;
    message.route = "r";
    message.method = "GET";
    message.target = "/q";
    message.time_left_ms = 600;
    message.objective_ms = 400;
    message.services = {"s"};
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::gather_request::Pack(builder, &message));
    const auto task = std::make_shared<gather_task>(
        context, *flatbuffers::GetRoot<wire::gather_request>(builder.GetBufferPointer()),
        nullptr);
    std::vector<wire::ungathered_reason> reasons;
    const instant began = clock.now();
    const instant limit = began + duration(590);
    bool ended = false;
    task->start(
        {},
        [&reasons](const wire::gather_report_message& report) {
            for (const auto& one : report.ungathered) {
                reasons.push_back(one->reason);
            }
        },
        [&ended] { ended = true; });
    while (!ended && clock.now() < limit) {
        loop.run(ev::NOWAIT);
        ::usleep(1000);
    }
    EXPECT_TRUE(ended);
    EXPECT_EQ(reasons, (std::vector{wire::ungathered_reason::pending,
                                    wire::ungathered_reason::not_run}));
    EXPECT_GE(clock.now() - began, duration(490));
}

} // namespace
} // namespace curranthoist::frontd
