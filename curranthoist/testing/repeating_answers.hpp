#pragma once

#include "curranthoist/testing/raw_target.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

namespace curranthoist::testing {

// Rejects each attempt the first time it comes, and sends a copy of that rejection late
// on the same connection. The second time it runs the attempt and answers slowly.
class repeating_answers
{
public:
    explicit repeating_answers(std::string id)
        : id_(std::move(id))
    {}

    [[nodiscard]] int runs_of(const std::string& attempt) const
    {
        const std::lock_guard lock(mutex_);
        const auto found = arrivals_.find(attempt);
        return found == arrivals_.end() ? 0 : std::max(0, found->second - 1);
    }

    void answer(std::string_view request, const raw_sender& send)
    {
        if (request.starts_with("GET /health")) {
            send("HTTP/1.1 200 OK\r\nInstance-Id: " + id_ +
                 "\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        const std::string attempt = raw_header(request, "Attempt-Id");
        const std::string name = "Attempt-Id: " + attempt + "\r\n";
        int arrivals = 0;
        {
            const std::lock_guard lock(mutex_);
            arrivals = ++arrivals_[attempt];
        }
        if (arrivals > 1) {
            std::this_thread::sleep_for(work);
            send("HTTP/1.1 200 OK\r\n" + name + "Server-Stamp: " + id_ +
                 "\r\nContent-Length: 2\r\n\r\n{}");
            return;
        }
        const std::string rejection = "HTTP/1.1 503 Busy\r\n" + name +
                                      "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        send(rejection);
        std::this_thread::sleep_for(copy_delay);
        send(rejection);
    }

private:
    static constexpr std::chrono::milliseconds copy_delay{20};
    static constexpr std::chrono::milliseconds work{200};

    std::string id_;
    mutable std::mutex mutex_;
    std::map<std::string, int> arrivals_;
};

} // namespace curranthoist::testing
