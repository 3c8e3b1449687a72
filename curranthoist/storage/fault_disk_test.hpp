#pragma once

#include "curranthoist/base/random_source.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <system_error>
#include <vector>

namespace curranthoist::storage::testing_support {

// Thrown at the operation chosen for a crash.
struct crash
{};

// A data folder in memory that tells synced from unsynced content and names. At a chosen
// operation it crashes or fails; after a crash, unsynced content survives in part.
class fault_disk
{
public:
    struct content
    {
        std::vector<std::uint8_t> bytes;
        std::vector<std::uint8_t> synced;
    };
    using file = std::shared_ptr<content>;

    enum class fault
    {
        crash,
        no_space,
        io_error,
    };

    // Lets operation `number` (from 1) fail; 0 for none. With short writes, a write takes
    // a few bytes at a time.
    void fail_at(std::uint64_t number, fault kind, bool short_writes)
    {
        operations_ = 0;
        fail_at_ = number;
        kind_ = kind;
        short_writes_ = short_writes;
    }
    [[nodiscard]] std::uint64_t operations() const { return operations_; }
    [[nodiscard]] std::vector<std::uint8_t>& bytes_of(const std::string& name)
    {
        return names_.at(name)->bytes;
    }
    // What a restart of the machine finds: all unsynced name changes or none, and of each
    // file's unsynced bytes a prefix, or all of them with one sector that reads as zeros.
    void lose_unsynced(base::random_source& random)
    {
        if (random.chance(0.5)) {
            names_ = synced_names_;
        }
        synced_names_ = names_;
        for (const auto& [name, one] : names_) {
            lose_bytes(*one, random);
        }
        fail_at(0, fault::crash, false);
    }

    std::vector<std::string> list()
    {
        std::vector<std::string> result;
        for (const auto& [name, one] : names_) {
            result.push_back(name);
        }
        return result;
    }
    std::vector<std::uint8_t> read(const std::string& name)
    {
        return names_.at(name)->bytes;
    }
    file create(const std::string& name)
    {
        count();
        file& target = names_[name];
        target = std::make_shared<content>();
        return target;
    }
    file open(const std::string& name) { return names_.at(name); }
    std::size_t write(const file& target, std::span<const std::uint8_t> bytes)
    {
        constexpr std::size_t few = 7;
        if (fails_now() && kind_ != fault::io_error) {
            // The failing write leaves a part of its bytes behind.
            const auto part = bytes.first(bytes.size() / 2);
            target->bytes.insert(target->bytes.end(), part.begin(), part.end());
        }
        count();
        const std::size_t size =
            short_writes_ ? std::min(bytes.size(), few) : bytes.size();
        target->bytes.insert(target->bytes.end(), bytes.begin(),
                             bytes.begin() + static_cast<std::ptrdiff_t>(size));
        return size;
    }
    void truncate(const file& target, std::uint64_t size)
    {
        count();
        target->bytes.resize(size);
    }
    void sync(const file& target)
    {
        count();
        target->synced = target->bytes;
    }
    void close(const file& /*target*/) {}
    void rename(const std::string& from, const std::string& to)
    {
        count();
        names_[to] = names_.at(from);
        names_.erase(from);
    }
    void remove(const std::string& name)
    {
        count();
        names_.erase(name);
    }
    void sync_folder()
    {
        count();
        synced_names_ = names_;
    }

private:
    [[nodiscard]] bool fails_now() const { return operations_ + 1 == fail_at_; }
    void count()
    {
        if (++operations_ != fail_at_) {
            return;
        }
        if (kind_ == fault::crash) {
            throw crash();
        }
        throw std::system_error(kind_ == fault::no_space ? ENOSPC : EIO,
                                std::generic_category(), "injected");
    }
    static void lose_bytes(content& one, base::random_source& random)
    {
        constexpr std::size_t sector = 512;
        const std::size_t synced = one.synced.size();
        if (one.bytes.size() <= synced) {
            // A truncation that was not synced may be undone.
            one.bytes = random.chance(0.5) ? one.synced : one.bytes;
        }
        else if (random.chance(0.5)) {
            one.bytes.resize(synced + random.below(one.bytes.size() - synced + 1));
        }
        else {
            const std::size_t from = synced + random.below(one.bytes.size() - synced);
            const std::size_t start = std::max(synced, from / sector * sector);
            const std::size_t end =
                std::min(one.bytes.size(), (from / sector + 1) * sector);
            std::fill(one.bytes.begin() + static_cast<std::ptrdiff_t>(start),
                      one.bytes.begin() + static_cast<std::ptrdiff_t>(end), 0);
        }
        one.synced = one.bytes;
    }

    std::map<std::string, file> names_;
    std::map<std::string, file> synced_names_;
    std::uint64_t operations_ = 0;
    std::uint64_t fail_at_ = 0;
    fault kind_ = fault::crash;
    bool short_writes_ = false;
};

} // namespace curranthoist::storage::testing_support
