#pragma once

#include "curranthoist/base/duration.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace curranthoist::testing {

// A process that a test started. It is killed, by its id, when this object goes away.
class child_process
{
public:
    // Starts the program; its standard output and error go to the file `output`. Throws
    // std::system_error.
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  std::string output);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    // Does nothing once the process has ended.
    void send_signal(int signal);
    // True until the process has ended.
    [[nodiscard]] bool is_running();
    // Waits for the end; returns the exit code, or 128 plus the signal that ended it, or
    // nothing if it still runs after `limit`.
    std::optional<int> wait_for_exit(base::duration limit = base::duration(10'000));
    // From now on a write beyond this offset of any file fails in the process; a test
    // that wants an error rather than SIGXFSZ ignores that signal before it starts the
    // process. Throws std::system_error.
    void limit_file_size(std::uint64_t bytes);
    // Takes that limit back.
    void allow_any_file_size();
    // SIGKILL, and waits for the end.
    void kill_now();

    [[nodiscard]] pid_t id() const { return id_; }
    // What it has printed so far.
    [[nodiscard]] std::string output() const;

private:
    void reap(int options);

    std::string output_;
    pid_t id_ = -1;
    std::optional<int> exit_code_;
};

} // namespace curranthoist::testing
