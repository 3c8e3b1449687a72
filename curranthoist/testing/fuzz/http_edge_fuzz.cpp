#include "curranthoist/base/socket_address.hpp"
#include "curranthoist/http/caller_server.hpp"
#include "curranthoist/testing/fuzz/chunks.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

// Callers of a server with small limits. Each chunk of the input is a step of one of
// several connections: its first byte says which one and what it does, its second byte
// how often the rest is sent. The bodies that the server holds never exceed the memory
// for them, and each long one is counted; nothing is counted once all connections have
// ended.

namespace curranthoist::testing::fuzz {

namespace {

constexpr std::size_t connection_count = 4;
constexpr std::size_t max_body_bytes = std::size_t{12} * 1024;
constexpr std::size_t max_request_memory = std::size_t{16} * 1024;
constexpr std::size_t max_sent_bytes = std::size_t{32} * 1024;
constexpr std::size_t max_repeats = 16;
// Bodies up to this size need not be counted.
constexpr std::size_t uncounted_bytes = std::size_t{4} * 1024;
constexpr std::size_t long_response_bytes = std::size_t{64} * 1024;
constexpr int turns_per_step = 4;
constexpr int max_final_turns = 20'000;

// What the bits of a step's first byte say, besides the connection.
constexpr std::uint8_t answers_one = 0x04;
constexpr std::uint8_t reads = 0x08;
constexpr std::uint8_t ends = 0x10;
constexpr std::uint8_t resets = 0x20;

void require(bool holds)
{
    if (!holds) {
        std::abort();
    }
}

// A caller's connection that sends what it is told.
class raw_caller
{
public:
    explicit raw_caller(const base::endpoint& remote)
        : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const sockaddr_in address = base::socket_address(remote);
        connected_ = ::connect(descriptor_, reinterpret_cast<const sockaddr*>(&address),
                               sizeof address) == 0;
    }
    ~raw_caller() { reset(); }
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;

    [[nodiscard]] bool is_open() const { return connected_; }
    void send(std::span<const std::uint8_t> bytes) const
    {
        ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    }
    void read() const
    {
        std::array<char, 4096> bytes;
        while (::recv(descriptor_, bytes.data(), bytes.size(), MSG_DONTWAIT) > 0) {
        }
    }
    void end() const { ::shutdown(descriptor_, SHUT_WR); }
    // Without leaving a socket behind in the kernel: there are many runs.
    void reset()
    {
        constexpr linger at_once{1, 0};
        if (descriptor_ >= 0) {
            setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
            ::close(descriptor_);
        }
        descriptor_ = -1;
        connected_ = false;
    }

private:
    int descriptor_;
    bool connected_ = false;
};

class edge
{
public:
    edge()
        : server_(loop_, options(),
                  [this](http::caller_request request, http::responder answer) {
                      on_request(std::move(request), std::move(answer));
                  })
    {}

    void step(std::span<const std::uint8_t> chunk)
    {
        if (chunk.size() < 2) {
            return;
        }
        const std::uint8_t action = chunk[0];
        auto& caller = callers_[action % connection_count];
        if (!caller || !caller->is_open()) {
            caller = std::make_unique<raw_caller>(server_.local());
        }
        if (!caller->is_open()) {
            return;
        }
        const std::span<const std::uint8_t> content = chunk.subspan(2);
        std::size_t sent = 0;
        for (std::size_t i = 0; i <= chunk[1] % max_repeats; ++i) {
            if (sent + content.size() <= max_sent_bytes) {
                caller->send(content);
                sent += content.size();
            }
        }
        turn();
        if ((action & answers_one) != 0 && !kept_.empty()) {
            kept_.front().second.respond({.body = "{}"});
            kept_.erase(kept_.begin());
        }
        if ((action & reads) != 0) {
            caller->read();
        }
        if ((action & ends) != 0) {
            caller->end();
        }
        if ((action & resets) != 0) {
            caller->reset();
        }
        turn();
        check();
    }

    void finish()
    {
        for (auto& caller : callers_) {
            caller.reset();
        }
        for (int i = 0; i < max_final_turns && server_.open_requests() > 0; ++i) {
            loop_.run(ev::NOWAIT);
        }
        check();
        kept_.clear();
        for (int i = 0; i < max_final_turns && server_.request_memory().used() > 0; ++i) {
            loop_.run(ev::NOWAIT);
        }
        require(server_.open_requests() == 0);
        require(server_.request_memory().used() == 0);
    }

private:
    using kept_request = std::pair<http::caller_request, http::responder>;

    static http::caller_server_options options()
    {
        http::caller_server_options result;
        result.listen = {"127.0.0.1", 0};
        result.max_connections = connection_count - 1;
        result.max_header_bytes = 1024;
        result.max_body_bytes = max_body_bytes;
        result.max_request_memory = max_request_memory;
        return result;
    }
    void on_request(http::caller_request request, http::responder answer)
    {
        require(request.body.size() <= max_body_bytes);
        require(
            request.body.size() <= uncounted_bytes ||
            (request.held_memory && request.held_memory->bytes() >= request.body.size()));
        if (request.path.starts_with("/keep")) {
            kept_.emplace_back(std::move(request), std::move(answer));
        }
        else if (request.path.starts_with("/long")) {
            answer.respond({.body = std::string(long_response_bytes, 'x')});
        }
        else {
            answer.respond({.body = "{}"});
        }
    }
    void turn()
    {
        for (int i = 0; i < turns_per_step; ++i) {
            loop_.run(ev::NOWAIT);
        }
    }
    void check() const
    {
        const http::memory_account& memory = server_.request_memory();
        require(memory.used() <= memory.capacity());
        std::size_t kept = 0;
        for (const kept_request& one : kept_) {
            kept += one.first.held_memory ? one.first.held_memory->bytes() : 0;
        }
        require(kept <= memory.used());
    }

    ev::dynamic_loop loop_;
    std::vector<kept_request> kept_;
    http::caller_server server_;
    std::array<std::unique_ptr<raw_caller>, connection_count> callers_;
};

void run(std::span<const std::uint8_t> input)
{
    edge played;
    for (const std::vector<std::uint8_t>& chunk : split_chunks(input)) {
        played.step(chunk);
    }
    played.finish();
}

} // namespace

} // namespace curranthoist::testing::fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    curranthoist::testing::fuzz::run({data, size});
    return 0;
}
