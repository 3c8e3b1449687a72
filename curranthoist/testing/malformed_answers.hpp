#pragma once

#include "curranthoist/testing/raw_target.hpp"

#include <mutex>
#include <string>
#include <string_view>
#include <utility>

namespace curranthoist::testing {

// Answers every attempt with a start line of the test's choice, and keeps the connection.
class malformed_answers
{
public:
    explicit malformed_answers(std::string id)
        : id_(std::move(id))
    {}

    // `start_line` without its end; `lines` are further header lines with their ends.
    void set(std::string start_line, std::string lines, std::string body)
    {
        const std::lock_guard lock(mutex_);
        start_line_ = std::move(start_line);
        lines_ = std::move(lines);
        body_ = std::move(body);
    }

    void answer(std::string_view request, const raw_sender& send)
    {
        if (request.starts_with("GET /health")) {
            send("HTTP/1.1 200 OK\r\nInstance-Id: " + id_ +
                 "\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        const std::lock_guard lock(mutex_);
        send(start_line_ + "\r\nAttempt-Id: " + raw_header(request, "Attempt-Id") +
             "\r\nServer-Stamp: " + id_ + "\r\n" + lines_ + "\r\n" + body_);
    }

private:
    std::string id_;
    std::mutex mutex_;
    std::string start_line_;
    std::string lines_;
    std::string body_;
};

} // namespace curranthoist::testing
