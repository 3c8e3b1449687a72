#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace curranthoist::storage {

// A data folder on a local file system; satisfies the concept `disk`. It locks the folder
// for its life, so that two processes never share one.
class posix_disk
{
public:
    using file = int;

    // Throws std::system_error if the folder does not exist or another process has it.
    explicit posix_disk(std::string folder);
    ~posix_disk();
    posix_disk(const posix_disk&) = delete;
    posix_disk& operator=(const posix_disk&) = delete;

    [[nodiscard]] std::vector<std::string> list() const;
    [[nodiscard]] std::vector<std::uint8_t> read(const std::string& name) const;
    [[nodiscard]] file create(const std::string& name) const;
    [[nodiscard]] file open(const std::string& name) const;
    [[nodiscard]] std::size_t write(file target,
                                    std::span<const std::uint8_t> bytes) const;
    void truncate(file target, std::uint64_t size) const;
    void sync(file target) const;
    void close(file target) const;
    void rename(const std::string& from, const std::string& to) const;
    void remove(const std::string& name) const;
    void sync_folder() const;

private:
    [[noreturn]] void fail(const char* operation, const std::string& name) const;

    std::string folder_;
    int descriptor_;
};

} // namespace curranthoist::storage
