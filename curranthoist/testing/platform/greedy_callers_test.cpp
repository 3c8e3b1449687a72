// Callers that send what is legal but take as much memory as they can. Small VMs, so that
// few callers are enough; each test checks what holds at any speed of the machine: the
// process lives, its memory and descriptors stay within bounds, and an ordinary request
// is answered beside the greedy callers and after them.
#include "curranthoist/testing/endless_server.hpp"
#include "curranthoist/testing/greedy_callers.hpp"
#include "curranthoist/testing/platform/platform_fixture.hpp"
#include "curranthoist/testing/process_usage.hpp"
#include "curranthoist/testing/wait_until.hpp"
#include "curranthoist/wire/frame_codec.hpp"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace curranthoist::testing {
namespace {

constexpr std::size_t memory_mb = 64;
[[maybe_unused]] constexpr std::size_t max_memory_bytes = memory_mb * 1024 * 1024;
constexpr std::size_t max_descriptors = 600;
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

// The start of a frame between processes that says to be of this size, all but its last
// bytes.
std::string short_frame(std::size_t size)
{
    constexpr std::size_t missing = 10;
    constexpr unsigned bits_per_byte = 8;
    std::string result;
    for (unsigned i = 0; i < wire::frame_prefix_bytes; ++i) {
        result += static_cast<char>(size >> (bits_per_byte * i));
    }
    return result + std::string(size - missing, 'f');
}

template <class Message>
std::string frame_of(Message message)
{
    const auto bytes = wire::encode_frame(std::move(message));
    return {bytes.begin(), bytes.end()};
}

std::string hello_frame()
{
    wire::hello_message message;
    message.protocol = wire::protocol_version;
    message.sender = wire::role::entry;
    message.id = "greedy";
    return frame_of(std::move(message));
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
    greedy_callers_test()
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

    static void expect_within_bounds(child_process& process)
    {
        ASSERT_TRUE(process.is_running());
        EXPECT_LT(open_descriptors(process.id()), max_descriptors);
#if !defined(CURRANTHOIST_SANITIZED)
        // The sanitizer keeps what was freed, and a shadow of all memory.
        EXPECT_LT(peak_memory_bytes(process.id()), max_memory_bytes);
#endif
    }

    // Lets the callers do their worst, and checks what must hold meanwhile and then.
    void press(const greedy_plan& plan, child_process& process)
    {
        {
            const greedy_callers crowd(plan);
            crowd.wait_until_settled();
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

private:
    unsigned asked_ = 0;
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

} // namespace
} // namespace curranthoist::testing
