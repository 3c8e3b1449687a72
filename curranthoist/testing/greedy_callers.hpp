#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/base/endpoint.hpp"

#include <atomic>
#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <thread>

namespace curranthoist::testing {

// What each of the greedy callers sends.
struct greedy_plan
{
    base::endpoint server;
    std::size_t connections = 0;
    // Sent on each connection, which then stays open.
    std::string bytes;
    // Sends at most so many bytes at once, with a pause between.
    std::size_t piece_bytes = std::size_t{256} * 1024;
    base::duration piece_pause{};
    // Connections that the server has closed are opened again, until so many were opened.
    std::size_t max_opened = 0;
};

// Clients that send what the plan says on many connections, read nothing and stay. They
// run on a thread of their own until they go away:
//
//     std::vector<std::unique_ptr<greedy_callers>> crowds;
//     crowds.push_back(std::make_unique<greedy_callers>(
//         greedy_plan{.server = front, .connections = 300, .bytes = request}));
//     greedy_callers::wait_until_settled(crowds);
//     ...                              // what ordinary callers get beside them
class greedy_callers
{
public:
    explicit greedy_callers(greedy_plan plan);
    // Closes every connection.
    ~greedy_callers();
    greedy_callers(const greedy_callers&) = delete;
    greedy_callers& operator=(const greedy_callers&) = delete;

    // Returns once no byte of any of the crowds was taken for a second, after 20 s at the
    // latest.
    static void
    wait_until_settled(std::span<const std::unique_ptr<greedy_callers>> crowds);
    [[nodiscard]] std::size_t opened() const { return opened_; }
    [[nodiscard]] std::size_t sent_bytes() const { return sent_bytes_; }

private:
    struct connection;

    void run();
    void open(connection& one);
    // Sends the next piece if it is due.
    void send_piece(connection& one);

    greedy_plan plan_;
    std::atomic<bool> stopping_ = false;
    std::atomic<std::size_t> opened_ = 0;
    std::atomic<std::size_t> sent_bytes_ = 0;
    std::thread thread_;
};

} // namespace curranthoist::testing
