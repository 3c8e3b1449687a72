#include "curranthoist/storage/posix_disk.hpp"

#include <array>
#include <cerrno>
#include <filesystem>
#include <system_error>
#include <utility>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

namespace curranthoist::storage {

namespace {

constexpr mode_t file_mode = 0640;
constexpr std::size_t read_buffer_bytes = std::size_t{64} * 1024;

} // namespace

posix_disk::posix_disk(std::string folder)
    : folder_(std::move(folder))
    , descriptor_(::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC))
{
    if (descriptor_ < 0) {
        fail("open", ".");
    }
    if (::flock(descriptor_, LOCK_EX | LOCK_NB) != 0) {
        const int error = errno;
        ::close(descriptor_);
        errno = error;
        fail("lock", ".");
    }
}

posix_disk::~posix_disk()
{
    ::close(descriptor_);
}

void posix_disk::fail(const char* operation, const std::string& name) const
{
    throw std::system_error(errno, std::generic_category(),
                            std::string("cannot ") + operation + " " + folder_ + "/" +
                                name);
}

std::vector<std::string> posix_disk::list() const
{
    std::vector<std::string> names;
    for (const auto& entry : std::filesystem::directory_iterator(folder_)) {
        if (entry.is_regular_file()) {
            names.push_back(entry.path().filename().string());
        }
    }
    return names;
}

std::vector<std::uint8_t> posix_disk::read(const std::string& name) const
{
    const int source = ::openat(descriptor_, name.c_str(), O_RDONLY | O_CLOEXEC);
    if (source < 0) {
        fail("open", name);
    }
    std::vector<std::uint8_t> content;
    std::array<std::uint8_t, read_buffer_bytes> buffer;
    while (true) {
        const ssize_t got = ::read(source, buffer.data(), buffer.size());
        if (got < 0) {
            const int error = errno;
            ::close(source);
            errno = error;
            fail("read", name);
        }
        if (got == 0) {
            break;
        }
        content.insert(content.end(), buffer.begin(), buffer.begin() + got);
    }
    ::close(source);
    return content;
}

posix_disk::file posix_disk::create(const std::string& name) const
{
    const int target =
        ::openat(descriptor_, name.c_str(),
                 O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, file_mode);
    if (target < 0) {
        fail("create", name);
    }
    return target;
}

posix_disk::file posix_disk::open(const std::string& name) const
{
    const int target =
        ::openat(descriptor_, name.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
    if (target < 0) {
        fail("open", name);
    }
    return target;
}

std::size_t posix_disk::write(file target, std::span<const std::uint8_t> bytes) const
{
    while (true) {
        const ssize_t written = ::write(target, bytes.data(), bytes.size());
        if (written >= 0) {
            return static_cast<std::size_t>(written);
        }
        if (errno != EINTR) {
            fail("write in", "");
        }
    }
}

void posix_disk::truncate(file target, std::uint64_t size) const
{
    if (::ftruncate(target, static_cast<off_t>(size)) != 0) {
        fail("truncate in", "");
    }
}

void posix_disk::sync(file target) const
{
    if (::fdatasync(target) != 0) {
        fail("sync in", "");
    }
}

void posix_disk::close(file target) const
{
    ::close(target);
}

void posix_disk::rename(const std::string& from, const std::string& to) const
{
    if (::renameat(descriptor_, from.c_str(), descriptor_, to.c_str()) != 0) {
        fail("rename", from);
    }
}

void posix_disk::remove(const std::string& name) const
{
    if (::unlinkat(descriptor_, name.c_str(), 0) != 0) {
        fail("remove", name);
    }
}

void posix_disk::sync_folder() const
{
    if (::fsync(descriptor_) != 0) {
        fail("sync", ".");
    }
}

} // namespace curranthoist::storage
