#pragma once

#include <cstddef>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include <sys/types.h>

namespace curranthoist::testing {

// The most memory that the process has had resident, in bytes; 0 if it has ended.
inline std::size_t peak_memory_bytes(pid_t process)
{
    constexpr std::size_t bytes_per_kilobyte = 1024;
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.rfind("VmHWM:", 0) == 0) {
            return std::stoul(line.substr(line.find(':') + 1)) * bytes_per_kilobyte;
        }
    }
    return 0;
}

// The number of descriptors that the process has open.
inline std::size_t open_descriptors(pid_t process)
{
    std::error_code error;
    const std::filesystem::directory_iterator entries(
        "/proc/" + std::to_string(process) + "/fd", error);
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

} // namespace curranthoist::testing
