#include "curranthoist/testing/child_process.hpp"

#include "curranthoist/testing/wait_until.hpp"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <fstream>
#include <sstream>
#include <system_error>

#include <fcntl.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace curranthoist::testing {

namespace {

constexpr mode_t output_mode = 0644;
constexpr int signal_exit_base = 128;

int spawn(const std::string& program, const std::vector<std::string>& arguments,
          const std::string& output, pid_t& id)
{
    std::vector<char*> argv = {const_cast<char*>(program.c_str())};
    for (const std::string& argument : arguments) {
        argv.push_back(const_cast<char*>(argument.c_str()));
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, output_mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A reload that comes before the program's first instruction would end it; the soak
    // sends one 3 ms after a start (seed 1213). The platform's programs let it through.
    sigset_t held;
    sigemptyset(&held);
    sigaddset(&held, SIGHUP);
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    posix_spawnattr_setsigmask(&attributes, &held);
    const int error =
        posix_spawn(&id, program.c_str(), &actions, &attributes, argv.data(), environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    return error;
}

} // namespace

child_process::child_process(const std::string& program,
                             const std::vector<std::string>& arguments,
                             std::string output)
    : output_(std::move(output))
{
    const int error = spawn(program, arguments, output_, id_);
    if (error != 0) {
        throw std::system_error(error, std::generic_category(),
                                "cannot start " + program);
    }
}

child_process::~child_process()
{
    kill_now();
}

void child_process::reap(int options)
{
    int status = 0;
    if (!exit_code_ && ::waitpid(id_, &status, options) == id_) {
        exit_code_ =
            WIFEXITED(status) ? WEXITSTATUS(status) : signal_exit_base + WTERMSIG(status);
    }
}

bool child_process::is_running()
{
    reap(WNOHANG);
    return !exit_code_;
}

void child_process::send_signal(int signal)
{
    // The id is not reused before the process is reaped.
    if (is_running()) {
        ::kill(id_, signal);
    }
}

std::optional<int> child_process::wait_for_exit(base::duration limit)
{
    wait_until([this] { return !is_running(); }, limit);
    return exit_code_;
}

void child_process::limit_file_size(std::uint64_t bytes)
{
    rlimit limit{};
    if (::prlimit(id_, RLIMIT_FSIZE, nullptr, &limit) != 0) {
        throw std::system_error(errno, std::generic_category(), "prlimit");
    }
    limit.rlim_cur = std::min<rlim_t>(bytes, limit.rlim_max);
    if (::prlimit(id_, RLIMIT_FSIZE, &limit, nullptr) != 0) {
        throw std::system_error(errno, std::generic_category(), "prlimit");
    }
}

void child_process::allow_any_file_size()
{
    limit_file_size(RLIM_INFINITY);
}

void child_process::kill_now()
{
    send_signal(SIGKILL);
    reap(0);
}

std::string child_process::output() const
{
    std::ostringstream text;
    text << std::ifstream(output_).rdbuf();
    return text.str();
}

} // namespace curranthoist::testing
