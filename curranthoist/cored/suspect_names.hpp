#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace curranthoist::cored {

// The names of the suspects as the leader tells them to front processes, by number, and
// what has changed since an earlier number. With hundreds of fronts, a list that is
// repeated whole for one target that came or went is most of what the answers carry.
class suspect_names
{
public:
    // A front that holds an older list than this many gets the whole one.
    static constexpr std::size_t max_lists = 8;

    struct change
    {
        // Whether it is a change of the list that the front holds, or the whole list.
        bool is_whole = true;
        std::vector<std::string> added;
        std::vector<std::string> removed;
    };

    // `first_number` must differ from that of an earlier leader.
    explicit suspect_names(std::uint64_t first_number)
        : lists_{{first_number, {}}}
    {}

    // Takes over the names, in their order; equal ones keep their number.
    void set(std::vector<std::string> names);
    [[nodiscard]] std::uint64_t number() const { return lists_.back().number; }
    [[nodiscard]] const std::vector<std::string>& names() const
    {
        return lists_.back().names;
    }
    // Returns what leads from the list of that number to the newest one.
    [[nodiscard]] change since(std::uint64_t number) const;

private:
    struct list
    {
        std::uint64_t number = 0;
        std::vector<std::string> names;
    };

    std::deque<list> lists_;
};

} // namespace curranthoist::cored
