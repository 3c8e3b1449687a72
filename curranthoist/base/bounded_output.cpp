#include "curranthoist/base/bounded_output.hpp"

#include <climits>

#include <algorithm>

#include <poll.h>
#include <unistd.h>

namespace curranthoist::base {

void bounded_output::write(std::string_view line)
{
    append(line);
    flush();
}

void bounded_output::append(std::string_view line)
{
    if (kept_.size() + line.size() > max_kept_bytes) {
        ++dropped_;
    }
    else {
        if (dropped_ != reported_ && kept_.empty()) {
            kept_ = "level=WARN part=log event=lines_dropped lines=" +
                    std::to_string(dropped_ - reported_) + "\n";
            reported_ = dropped_;
        }
        kept_.append(line);
    }
    if (kept_.size() >= PIPE_BUF) {
        flush();
    }
}

void bounded_output::flush()
{
    std::size_t sent = 0;
    while (sent < kept_.size()) {
        pollfd room{descriptor_, POLLOUT, 0};
        if (::poll(&room, 1, 0) != 1 || (room.revents & POLLOUT) == 0) {
            break;
        }
        const std::size_t size = std::min<std::size_t>(kept_.size() - sent, PIPE_BUF);
        const ssize_t written = ::write(descriptor_, kept_.data() + sent, size);
        if (written <= 0) {
            break;
        }
        sent += static_cast<std::size_t>(written);
    }
    kept_.erase(0, sent);
}

} // namespace curranthoist::base
