// Limits of a configuration that change while callers send: what the newest configuration
// allows is served, whatever the process was started with.
#include "curranthoist/http/internal/raw_peer.hpp"
#include "curranthoist/testing/platform/platform_fixture.hpp"
#include "curranthoist/testing/process_usage.hpp"
#include "curranthoist/testing/wait_until.hpp"

#include <string>

namespace curranthoist::testing {
namespace {

using http::internal::raw_peer;

constexpr std::size_t memory_mb = 64;
[[maybe_unused]] constexpr std::size_t max_memory_bytes = memory_mb * 1024 * 1024;
constexpr std::size_t usual_header_bytes = std::size_t{16} * 1024;
constexpr std::size_t raised_header_bytes = std::size_t{64} * 1024;
// From the acknowledgement of a configuration until all of it must be in force.
constexpr base::duration apply_limit{3000};

class raised_limits_test : public platform_fixture
{
protected:
    raised_limits_test()
    {
        more_settings_ = "limits.memory_mb=" + std::to_string(memory_mb) + "\n";
        add_vms(1);
    }

    bool limit_heads(std::uint64_t version, std::size_t max_header_bytes)
    {
        nlohmann::json wanted = configuration(version);
        wanted["limits"]["max_header_bytes"] = max_header_bytes;
        if (!replace(wanted)) {
            return false;
        }
        const std::string line =
            "event=configuration_in_force version=" + std::to_string(version) + " ";
        return wait_until(
            [&] { return fronts_[0]->output().find(line) != std::string::npos; });
    }

    // An order whose head has about `head_bytes`.
    std::string order(std::size_t head_bytes)
    {
        constexpr std::size_t header_bytes = 1000;
        std::string head = "POST /o/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: long-" +
                           std::to_string(++orders_) +
                           "\r\nDeadline-Milliseconds: 3000\r\nContent-Length: 5\r\n";
        for (unsigned i = 0; head.size() + header_bytes < head_bytes; ++i) {
            const std::string name = "X-" + std::to_string(i) + ": ";
            head += name + std::string(header_bytes - name.size() - 2, 'v') + "\r\n";
        }
        return head + "\r\norder";
    }

    // The status line of the answer to one more order on the connection; empty if it ends
    // without one.
    std::string status_on(raw_peer& peer, std::size_t head_bytes)
    {
        const std::size_t before = peer.read().size();
        peer.send(order(head_bytes));
        wait_until([&] {
            return peer.read().find("\r\n\r\n", before) != std::string::npos ||
                   peer.ended();
        });
        const std::string& all = peer.read();
        return all.substr(before, all.find("\r\n", before) - before);
    }

    std::string status_on_new_connection(std::size_t head_bytes)
    {
        raw_peer peer({vms_[0], callers_port});
        return status_on(peer, head_bytes);
    }

    // Heads of 30 to 60 KB, each on a new connection and several on a kept one.
    void expect_long_heads_are_served()
    {
        constexpr std::size_t shortest = 30'000;
        constexpr std::size_t longest = 61'900;
        constexpr std::size_t step = 2'900;
        raw_peer kept({vms_[0], callers_port});
        for (std::size_t size = shortest; size <= longest; size += step) {
            EXPECT_EQ(status_on_new_connection(size), "HTTP/1.1 200 OK") << size;
            EXPECT_EQ(status_on(kept, size), "HTTP/1.1 200 OK") << size;
        }
    }

private:
    unsigned orders_ = 0;
};

// Guards against limits that are accepted and then not carried: heads above 16 KiB were
// refused with 431, since the memory of a connection kept the size of the start.
TEST_F(raised_limits_test, raised_and_lowered_limits_of_heads_hold)
{
    constexpr std::size_t usual_head = 12'000;
    constexpr std::size_t long_head = 30'000;
    start_all();
    ASSERT_TRUE(limit_heads(7, usual_header_bytes));
    ASSERT_TRUE(ready(0));
    ASSERT_EQ(status_on_new_connection(usual_head), "HTTP/1.1 200 OK");
    raw_peer kept({vms_[0], callers_port});
    ASSERT_EQ(status_on(kept, usual_head), "HTTP/1.1 200 OK");

    ASSERT_TRUE(limit_heads(8, raised_header_bytes));
    expect_long_heads_are_served();
    // A connection of before either takes long heads too or ends, so that its caller
    // opens a new one.
    wait_until([&] { return kept.ended(); }, apply_limit);
    EXPECT_TRUE(kept.ended() || status_on(kept, long_head) == "HTTP/1.1 200 OK");

    ASSERT_TRUE(limit_heads(9, usual_header_bytes));
    EXPECT_EQ(status_on_new_connection(usual_head), "HTTP/1.1 200 OK");
    EXPECT_NE(status_on_new_connection(long_head).find(" 431 "), std::string::npos);

    ASSERT_TRUE(limit_heads(10, raised_header_bytes));
    expect_long_heads_are_served();
#if !defined(CURRANTHOIST_SANITIZED)
    EXPECT_LT(peak_memory_bytes(fronts_[0]->id()), max_memory_bytes);
#endif
}

// Guards against a limit that no VM carries and that is acknowledged all the same.
TEST_F(raised_limits_test, a_limit_of_heads_that_no_vm_carries_is_invalid)
{
    constexpr std::size_t carried = std::size_t{256} * 1024;
    start_all();
    ASSERT_TRUE(limit_heads(7, carried));
    ASSERT_TRUE(ready(0));
    EXPECT_EQ(status_on_new_connection(carried - 2000), "HTTP/1.1 200 OK");
    nlohmann::json wanted = configuration(8);
    wanted["limits"]["max_header_bytes"] = carried + 1;
    EXPECT_TRUE(replace(wanted, 400));
    EXPECT_EQ(version_read_back(), 7U);
}

} // namespace
} // namespace curranthoist::testing
