#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/base/random_source.hpp"
#include "curranthoist/testing/fault.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace curranthoist::testing {

// The faults that are in force. A command replaces an earlier one of the same name.
class fault_set
{
public:
    explicit fault_set(std::uint64_t seed)
        : random_(seed)
    {}

    void set(fault command, base::instant now)
    {
        const base::instant until =
            command.duration ? now + *command.duration : base::instant::max();
        std::string name = command.name;
        faults_.insert_or_assign(std::move(name), active{std::move(command), until});
    }
    // Ends one fault, or all if the name is empty.
    void clear(const std::string& name)
    {
        if (name.empty()) {
            faults_.clear();
        }
        else {
            faults_.erase(name);
        }
    }
    // The fault if it is in force; for those that are a state.
    [[nodiscard]] const fault* find(std::string_view name, base::instant now) const
    {
        const auto found = faults_.find(name);
        return found == faults_.end() || now >= found->second.until
                   ? nullptr
                   : &found->second.command;
    }
    // Decides whether the fault applies this time, and counts it if so.
    std::optional<fault> take(std::string_view name, base::instant now)
    {
        const fault* const command = find(name, now);
        if (command == nullptr || command->count == 0U ||
            !random_.chance(command->probability)) {
            return std::nullopt;
        }
        std::optional<fault> result = *command;
        auto& count = faults_.find(name)->second.command.count;
        if (count) {
            --*count;
        }
        return result;
    }

private:
    struct active
    {
        fault command;
        base::instant until;
    };

    std::map<std::string, active, std::less<>> faults_;
    base::random_source random_;
};

} // namespace curranthoist::testing
