// Callers that send what is legal but take as much memory as they can. Small VMs, so that
// few callers are enough; each test checks what holds at any speed of the machine: the
// process lives, its memory and descriptors stay within bounds, and an ordinary request
// is answered beside the greedy callers and after them.
#include "curranthoist/testing/endless_server.hpp"
#include "curranthoist/testing/greedy_callers.hpp"
#include "curranthoist/testing/greedy_frames.hpp"
#include "curranthoist/testing/platform/platform_fixture.hpp"
#include "curranthoist/testing/process_usage.hpp"
#include "curranthoist/testing/wait_until.hpp"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace curranthoist::testing {
namespace {

constexpr std::size_t small_memory_mb = 64;
constexpr std::size_t few_descriptors = 600;
constexpr std::size_t body_bytes = 262'144;
constexpr std::size_t crowd_size = 300;
// Callers come back after they were refused or closed.
constexpr std::size_t max_opened = 3 * crowd_size;

std::string head(const std::string& method, const std::string& path,
                 const std::string& attempt, std::size_t length)
{
    return method + " " + path +
           " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + attempt +
           "\r\nDeadline-Milliseconds: 3000\r\nContent-Length: " +
           std::to_string(length) + "\r\n\r\n";
}

std::string requests_ahead(const std::string& path, std::size_t count)
{
    std::string result;
    for (std::size_t i = 0; i < count; ++i) {
        result += head("GET", path, "ahead-" + std::to_string(i), 0);
    }
    return result;
}

// Requests to gather many parts, whose reports are longer than they are.
std::string gather_requests(std::size_t count)
{
    constexpr std::size_t services = 1000;
    std::string result;
    for (std::size_t i = 0; i < count; ++i) {
        wire::gather_request_message one;
        one.id = i + 1;
        one.services.assign(services, "s0");
        result += frame_of(std::move(one));
    }
    return result;
}

class greedy_callers_test : public platform_fixture
{
protected:
    explicit greedy_callers_test(std::size_t memory_mb = small_memory_mb,
                                 std::size_t max_descriptors = few_descriptors)
        : max_memory_bytes_(memory_mb * 1024 * 1024)
        , max_descriptors_(max_descriptors)
    {
        more_settings_ =
            "limits.memory_mb=" + std::to_string(memory_mb) +
            "\nlimits.max_file_descriptors=" + std::to_string(max_descriptors) + "\n";
        add_vms(1);
    }

    void serve(const nlohmann::json& wanted)
    {
        start_all();
        ASSERT_TRUE(replace(wanted));
        ASSERT_TRUE(ready(0));
        ASSERT_TRUE(answers_an_ordinary_caller());
    }

    bool answers_an_ordinary_caller()
    {
        return wait_until([&] {
            return ask(0, "/l/1", "ordinary-" + std::to_string(++asked_)).status == 200U;
        });
    }

    void expect_within_bounds(child_process& process) const
    {
        ASSERT_TRUE(process.is_running());
        EXPECT_LT(open_descriptors(process.id()), max_descriptors_);
        const std::size_t peak_bytes = peak_memory_bytes(process.id());
        RecordProperty("peak_bytes", std::to_string(peak_bytes));
#if !defined(CURRANTHOIST_SANITIZED)
        // The sanitizer keeps what was freed, and a shadow of all memory.
        EXPECT_LT(peak_bytes, max_memory_bytes_);
#endif
    }

    // Lets the callers do their worst, and checks what must hold meanwhile and then.
    void press(const greedy_plan& plan, child_process& process)
    {
        press_at_once({plan}, process);
    }

    // The same for several crowds together.
    void press_at_once(const std::vector<greedy_plan>& plans, child_process& process)
    {
        {
            std::vector<std::unique_ptr<greedy_callers>> crowds;
            crowds.reserve(plans.size());
            for (const greedy_plan& plan : plans) {
                crowds.push_back(std::make_unique<greedy_callers>(plan));
            }
            greedy_callers::wait_until_settled(crowds);
            EXPECT_TRUE(answers_an_ordinary_caller());
            expect_within_bounds(process);
        }
        EXPECT_TRUE(answers_an_ordinary_caller());
        expect_within_bounds(process);
    }

    // What the ports between processes must bear, with and without a hello.
    void press_with_frames(const base::endpoint& server, child_process& process)
    {
        constexpr std::size_t frame_bytes = std::size_t{1024} * 1024;
        for (const std::string& greeting : {std::string(), hello_frame()}) {
            press({.server = server,
                   .connections = crowd_size,
                   .bytes = greeting + short_frame(frame_bytes),
                   .max_opened = max_opened},
                  process);
        }
    }

    void press_with_silence(const base::endpoint& server, child_process& process)
    {
        press({.server = server,
               .connections = 3 * crowd_size,
               .bytes = std::string(1, '1'),
               .max_opened = max_opened},
              process);
    }

    base::endpoint core_peers() const
    {
        return {vms_[0], peers_port};
    }
    base::endpoint gatherer() const
    {
        return {vms_[0], peers_port + 1};
    }
    base::endpoint front() const
    {
        return {vms_[0], callers_port};
    }

    // Adds a service to the configuration, with one target that does not work on what it
    // gets, but answers after `work` with so many bytes.
    void add_service(nlohmann::json& wanted, const std::string& name, std::uint16_t port,
                     base::duration work, std::size_t answer_bytes)
    {
        platform_->add({.id = name + "-a",
                        .service = name,
                        .address = {new_address(), port},
                        .work = work,
                        .answer_bytes = answer_bytes});
        nlohmann::json service = wanted["services"][0];
        service["name"] = name;
        wanted["services"].push_back(service);
    }

private:
    // Not checked with the sanitizers.
    [[maybe_unused]] std::size_t max_memory_bytes_;
    std::size_t max_descriptors_;
    unsigned asked_ = 0;
};

// The memory in MB that a process has on VMs of several sizes, with the descriptors that
// the platform allows there.
class crowds_at_once_test : public greedy_callers_test,
                            public ::testing::WithParamInterface<std::size_t>
{
protected:
    static constexpr std::size_t platform_descriptors = 4100;

    crowds_at_once_test()
        : greedy_callers_test(GetParam(), platform_descriptors)
    {}

    // Queries go to many shards of which every second one does not answer, while the
    // answers of the others stay just below the size from which on they are counted.
    void add_slow_shards(nlohmann::json& wanted)
    {
        constexpr std::size_t shard_count = 80;
        constexpr std::size_t answer_bytes = 15'000;
        constexpr std::uint16_t port = 9500;
        nlohmann::json shards = nlohmann::json::array();
        for (std::size_t i = 0; i < shard_count; ++i) {
            const std::string name = "shard" + std::to_string(i);
            add_service(wanted, name, port, {}, answer_bytes);
            shards.push_back(name);
            if (i % 2 == 0) {
                platform_->set_behaviour(name + "-a", target_behaviour::hangs);
            }
        }
        wanted["routes"][0]["shard_services"] = shards;
        wanted["routes"][0]["min_shard_share"] = 0.95;
    }

    // All that callers and other processes can make a front hold.
    std::vector<greedy_plan> every_crowd() const
    {
        constexpr std::size_t frame_bytes = std::size_t{1024} * 1024;
        const std::string long_path = "/q/1?x=" + std::string(14'000, 'x');
        const std::vector<std::string> sent{
            head("POST", "/o/1", "short", body_bytes) + std::string(body_bytes - 10, 'b'),
            head("POST", "/o/1", "whole", body_bytes) + std::string(body_bytes, 'b'),
            requests_ahead("/a/1", 10),
            requests_ahead(long_path, 20),
            "GET /l/1 HTTP/1.1\r\nHost: h.example\r\nX: " +
                std::string(std::size_t{15} * 1024, 'x'),
        };
        std::vector<greedy_plan> result;
        result.reserve(sent.size() + 1);
        for (const std::string& bytes : sent) {
            result.push_back({.server = front(),
                              .connections = crowd_size,
                              .bytes = bytes,
                              .max_opened = max_opened});
        }
        result.push_back({.server = gatherer(),
                          .connections = crowd_size,
                          .bytes = hello_frame() + short_frame(frame_bytes),
                          .max_opened = max_opened});
        return result;
    }
};

// Guards against bodies of legal size that stop just short of their end, each of which
// holds its memory for as long as its caller likes.
TEST_F(greedy_callers_test, bodies_that_stop_short_of_their_end)
{
    serve(configuration(7));
    press({.server = front(),
           .connections = crowd_size,
           .bytes = head("POST", "/o/1", "short", body_bytes) +
                    std::string(body_bytes - 10, 'b'),
           .max_opened = max_opened},
          *fronts_[0]);
}

// The same for bodies that go on coming, piece by piece, so that no connection is silent.
TEST_F(greedy_callers_test, bodies_in_pieces_that_stop_short_of_their_end)
{
    serve(configuration(7));
    press({.server = front(),
           .connections = crowd_size,
           .bytes = head("POST", "/o/1", "pieces", body_bytes) +
                    std::string(body_bytes - 10, 'b'),
           .piece_bytes = std::size_t{16} * 1024,
           .piece_pause = base::duration(50),
           .max_opened = max_opened},
          *fronts_[0]);
}

// Guards against whole requests that wait for targets with several copies of their
// bodies.
TEST_F(greedy_callers_test, whole_bodies_that_wait_for_a_target)
{
    constexpr base::duration work{500};
    constexpr std::uint16_t port = 9400;
    platform_->add({.id = "slow-a",
                    .service = "slow",
                    .address = {new_address(), port},
                    .work = work});
    nlohmann::json wanted = configuration(7);
    nlohmann::json service = wanted["services"][0];
    service["name"] = "slow";
    wanted["services"].push_back(service);
    wanted["routes"][1]["service"] = "slow";
    serve(wanted);
    press({.server = front(),
           .connections = crowd_size,
           .bytes =
               head("POST", "/o/1", "whole", body_bytes) + std::string(body_bytes, 'b'),
           .max_opened = max_opened},
          *fronts_[0]);
}

// Guards against long answers that wait for callers who do not read them.
TEST_F(greedy_callers_test, long_answers_that_nobody_reads)
{
    constexpr std::size_t answer_bytes = std::size_t{1024} * 1024;
    constexpr std::uint16_t port = 9400;
    platform_->add({.id = "long-a",
                    .service = "long",
                    .address = {new_address(), port},
                    .answer_bytes = answer_bytes});
    nlohmann::json wanted = configuration(7);
    nlohmann::json service = wanted["services"][0];
    service["name"] = "long";
    wanted["services"].push_back(service);
    wanted["routes"][1]["service"] = "long";
    serve(wanted);
    press({.server = front(),
           .connections = crowd_size,
           .bytes = requests_ahead("/o/1", 10),
           .max_opened = max_opened},
          *fronts_[0]);
}

// Guards against requests that are sent ahead on a few connections, their answers unread.
TEST_F(greedy_callers_test, requests_sent_ahead_on_a_few_connections)
{
    serve(configuration(7));
    press({.server = front(),
           .connections = 40,
           .bytes = requests_ahead("/l/1", 2000),
           .max_opened = max_opened},
          *fronts_[0]);
}

// Guards against queries to many shards, each of which holds many sends at once, while
// the shards do not answer.
TEST_F(greedy_callers_test, queries_to_many_shards_that_do_not_answer)
{
    constexpr std::size_t shard_count = 80;
    const nlohmann::json wanted = wide_configuration(7, shard_count);
    serve(wanted);
    for (std::size_t i = 0; i < shard_count; ++i) {
        for (const char* const copy : {"-a", "-b"}) {
            platform_->set_behaviour("w" + std::to_string(i) + copy,
                                     target_behaviour::hangs);
        }
    }
    press({.server = front(),
           .connections = crowd_size,
           .bytes = requests_ahead("/q/1", 20),
           .max_opened = max_opened},
          *fronts_[0]);
}

// Guards against targets that send without end, many at once: each of their responses is
// within the limit of one.
TEST_F(greedy_callers_test, many_targets_that_send_without_end)
{
    constexpr std::size_t shard_count = 8;
    constexpr std::uint16_t port = 9400;
    const std::string records(std::size_t{64} * 1024, '7');
    nlohmann::json wanted = configuration(7);
    nlohmann::json shards = nlohmann::json::array();
    std::vector<std::unique_ptr<endless_server>> servers;
    for (std::size_t i = 0; i < shard_count; ++i) {
        const std::string name = "endless" + std::to_string(i);
        servers.push_back(std::make_unique<endless_server>(
            "HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n", records));
        platform_->add({.id = name + "-a",
                        .service = name,
                        .address = {new_address(), port},
                        .listed_address = servers.back()->local()});
        nlohmann::json service = wanted["services"][0];
        service["name"] = name;
        wanted["services"].push_back(service);
        shards.push_back(name);
    }
    wanted["routes"][0]["shard_services"] = shards;
    serve(wanted);
    press({.server = front(),
           .connections = 40,
           .bytes = requests_ahead("/q/1", 5),
           .max_opened = 40},
          *fronts_[0]);
    for (const auto& one : servers) {
        EXPECT_GT(one->closed(), 0);
    }
}

// Guards against heads that stop short of their end.
TEST_F(greedy_callers_test, heads_that_stop_short_of_their_end)
{
    serve(configuration(7));
    press({.server = front(),
           .connections = crowd_size,
           .bytes = "GET /l/1 HTTP/1.1\r\nHost: h.example\r\nX: " +
                    std::string(std::size_t{15} * 1024, 'x'),
           .max_opened = max_opened},
          *fronts_[0]);
}

// The port of the load balancer takes no bodies of any use.
TEST_F(greedy_callers_test, bodies_at_the_readiness_port)
{
    serve(configuration(7));
    press({.server = {vms_[0], readiness_port},
           .connections = crowd_size,
           .bytes = head("POST", "/v1/readiness", "ready", body_bytes) +
                    std::string(body_bytes - 10, 'b'),
           .max_opened = max_opened},
          *fronts_[0]);
    EXPECT_TRUE(ready(0));
}

// Guards the core process against bodies at the port of operators.
TEST_F(greedy_callers_test, bodies_at_the_port_of_operators)
{
    serve(configuration(7));
    press({.server = {vms_[0], operators_port},
           .connections = crowd_size,
           .bytes = head("POST", "/v1/configuration/replace", "operator", body_bytes) +
                    std::string(body_bytes - 10, 'b'),
           .max_opened = max_opened},
          *cores_[0]);
    EXPECT_TRUE(replace(configuration(8)));
}

// Guards the core process against frames that stop just short of their end at the port
// of fronts and other core processes.
TEST_F(greedy_callers_test, frames_that_stop_short_at_the_port_of_fronts)
{
    serve(configuration(7));
    press_with_frames(core_peers(), *cores_[0]);
    EXPECT_TRUE(replace(configuration(8)));
}

// Guards the core process against connections that take all its descriptors.
TEST_F(greedy_callers_test, silent_connections_at_the_port_of_fronts)
{
    serve(configuration(7));
    press_with_silence(core_peers(), *cores_[0]);
    EXPECT_TRUE(replace(configuration(8)));
}

// Guards a gatherer against frames that stop just short of their end.
TEST_F(greedy_callers_test, frames_that_stop_short_at_the_port_of_gatherers)
{
    serve(configuration(7));
    press_with_frames(gatherer(), *fronts_[0]);
}

// Guards a gatherer against connections that take all its descriptors.
TEST_F(greedy_callers_test, silent_connections_at_the_port_of_gatherers)
{
    serve(configuration(7));
    press_with_silence(gatherer(), *fronts_[0]);
}

// Guards a gatherer against reports that nobody reads.
TEST_F(greedy_callers_test, reports_of_a_gatherer_that_nobody_reads)
{
    serve(configuration(7));
    press({.server = gatherer(),
           .connections = crowd_size,
           .bytes = hello_frame() + gather_requests(50),
           .max_opened = max_opened},
          *fronts_[0]);
}

// Guards against limits that hold one by one and add up to more than the process may use:
// bodies short of their end, bodies that wait for a slow target, answers that nobody
// reads, queries with long heads to shards that do not all answer, heads without end and
// frames at the port of gatherers, all at once.
TEST_P(crowds_at_once_test, the_front_stays_within_its_memory)
{
    constexpr base::duration work{500};
    constexpr std::size_t answer_bytes = std::size_t{1024} * 1024;
    nlohmann::json wanted = configuration(7);
    add_slow_shards(wanted);
    add_service(wanted, "slow", 9400, work, 0);
    add_service(wanted, "long", 9401, {}, answer_bytes);
    wanted["routes"][1]["service"] = "slow";
    nlohmann::json long_answers = wanted["routes"][2];
    long_answers["name"] = "long-answers";
    long_answers["path_prefix"] = "/a/";
    long_answers["service"] = "long";
    wanted["routes"].push_back(long_answers);
    serve(wanted);
    press_at_once(every_crowd(), *fronts_[0]);
}

INSTANTIATE_TEST_SUITE_P(memory_mb, crowds_at_once_test,
                         ::testing::Values(small_memory_mb, 112, 160, 260),
                         ::testing::PrintToStringParamName());

} // namespace
} // namespace curranthoist::testing
