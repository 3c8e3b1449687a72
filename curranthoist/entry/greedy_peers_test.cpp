// Callers and peers of the entry and the control process that take as much memory as they
// can. As in greedy_callers_test, each check holds at any speed of the machine.
#include "curranthoist/entry/deployment_fixture_test.hpp"
#include "curranthoist/testing/greedy_callers.hpp"
#include "curranthoist/testing/greedy_frames.hpp"
#include "curranthoist/testing/process_usage.hpp"
#include "curranthoist/testing/wait_until.hpp"

#include <memory>
#include <string>
#include <vector>

namespace curranthoist::entry {
namespace {

constexpr std::size_t entry_memory_mb = 112;
constexpr std::size_t control_memory_mb = 64;
constexpr std::size_t crowd_size = 300;
constexpr std::size_t max_opened = 3 * crowd_size;
constexpr std::size_t content_bytes = std::size_t{1024} * 1024;

class greedy_peers_test : public deployment_fixture
{
protected:
    greedy_peers_test()
    {
        const auto line = [](std::size_t memory_mb) {
            return "memory_mb = " + std::to_string(memory_mb) + "\n";
        };
        control_lines_ = line(control_memory_mb);
        vm_lines_ = "[limits]\n" + line(entry_memory_mb);
    }

    void start_deployment()
    {
        start_control();
        add_service("desk", false, 2, 1);
        add_vms(1);
        ASSERT_TRUE(wait_until_complete("desk"));
    }

    // Bodies and frames that stop just short of their end, and heads without end.
    static std::vector<testing::greedy_plan> crowds(const base::endpoint& callers,
                                                    const std::string& path,
                                                    const base::endpoint& peers)
    {
        const auto plan = [](const base::endpoint& server, std::string bytes) {
            return testing::greedy_plan{.server = server,
                                        .connections = crowd_size,
                                        .bytes = std::move(bytes),
                                        .max_opened = max_opened};
        };
        const std::string head = "POST " + path + " HTTP/1.1\r\nHost: h.example\r\n";
        return {
            plan(callers, head + "Content-Length: " + std::to_string(content_bytes) +
                              "\r\n\r\n" + std::string(content_bytes - 10, 'b')),
            plan(callers, head + "X: " + std::string(std::size_t{15} * 1024, 'x')),
            plan(peers, testing::hello_frame() + testing::short_frame(content_bytes))};
    }

    // Lets the crowds do their worst, and checks what must hold meanwhile and then.
    template <class Condition>
    static void press(const std::vector<testing::greedy_plan>& plans,
                      testing::child_process& process,
                      [[maybe_unused]] std::size_t memory_mb, Condition answers)
    {
        {
            std::vector<std::unique_ptr<testing::greedy_callers>> running;
            running.reserve(plans.size());
            for (const testing::greedy_plan& plan : plans) {
                running.push_back(std::make_unique<testing::greedy_callers>(plan));
            }
            testing::greedy_callers::wait_until_settled(running);
            EXPECT_TRUE(testing::wait_until(answers));
        }
        EXPECT_TRUE(testing::wait_until(answers));
        ASSERT_TRUE(process.is_running());
        const std::size_t peak_bytes = testing::peak_memory_bytes(process.id());
        RecordProperty("peak_bytes", std::to_string(peak_bytes));
#if !defined(CURRANTHOIST_SANITIZED)
        EXPECT_LT(peak_bytes, memory_mb * 1024 * 1024);
#endif
    }
};

// Guards against frames of other VMs, and bodies and heads of callers, that together take
// all of the memory of an entry process.
TEST_F(greedy_peers_test, an_entry_process_stays_within_its_memory)
{
    start_deployment();
    press(crowds(callers_of(0), "/v1/query/desk", {vms_[0].address, peers_port}),
          *vms_[0].process, entry_memory_mb,
          [this] { return query(0, "desk").status == 200U; });
}

// Guards a control process against the same at its ports.
TEST_F(greedy_peers_test, a_control_process_stays_within_its_memory)
{
    start_deployment();
    press(crowds({control_, operators_port}, "/v1/plan", {control_, control_port}),
          *control_process_, control_memory_mb, [this] {
              return send({control_, operators_port},
                          {.method = "GET", .path = "/v1/status"})
                         .status == 200U;
          });
    EXPECT_TRUE(wait_until_complete("desk"));
}

} // namespace
} // namespace curranthoist::entry
