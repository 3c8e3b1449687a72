#include "curranthoist/storage/write_probe.hpp"

#include "curranthoist/storage/posix_disk.hpp"

#include <array>
#include <exception>
#include <filesystem>
#include <stdexcept>

namespace curranthoist::storage {

std::string write_failure(const std::string& folder)
{
    // The smallest unit that file systems allocate.
    constexpr std::size_t probe_bytes = 4096;
    constexpr const char* probe_file = "write-probe";
    try {
        std::filesystem::create_directories(folder);
        const posix_disk disk(folder);
        const posix_disk::file file = disk.create(probe_file);
        try {
            const std::array<std::uint8_t, probe_bytes> zeros{};
            if (disk.write(file, zeros) != zeros.size()) {
                throw std::runtime_error("cannot write a whole block in " + folder);
            }
            disk.sync(file);
        }
        catch (...) {
            disk.close(file);
            throw;
        }
        disk.close(file);
        disk.remove(probe_file);
    }
    catch (const std::exception& error) {
        return error.what();
    }
    return "";
}

} // namespace curranthoist::storage
