#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace curranthoist::storage {

// The operations on one data folder that log_store needs: posix_disk, or a fake in tests.
// Names are plain file names within the folder. Every operation throws std::system_error
// when it fails.
template <class Disk>
concept disk = requires(Disk& disk, const std::string& name, typename Disk::file file,
                        std::span<const std::uint8_t> bytes, std::uint64_t size)
{
    // The names of all files.
    {
        disk.list()
        } -> std::same_as<std::vector<std::string>>;
    {
        disk.read(name)
        } -> std::same_as<std::vector<std::uint8_t>>;
    // Creates an empty file, or empties an existing one, and opens it.
    {
        disk.create(name)
        } -> std::same_as<typename Disk::file>;
    // Opens an existing file so that writes append to it.
    {
        disk.open(name)
        } -> std::same_as<typename Disk::file>;
    // Appends some of the bytes, at least one, and returns how many.
    {
        disk.write(file, bytes)
        } -> std::same_as<std::size_t>;
    disk.truncate(file, size);
    // Makes the file's content and size durable. A failure must not be retried: the
    // kernel may have dropped the pages and report success the next time.
    disk.sync(file);
    disk.close(file);
    disk.rename(name, name);
    disk.remove(name);
    // Makes created, renamed and removed names durable.
    disk.sync_folder();
};

} // namespace curranthoist::storage
