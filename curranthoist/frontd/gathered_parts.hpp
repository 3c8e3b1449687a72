#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace curranthoist::frontd {

// The parts of one report of a gatherer, with their greatest records.
struct gathered_parts
{
    std::vector<std::size_t> shards;
    std::vector<std::string> signatures;
    std::string records;
};

} // namespace curranthoist::frontd
