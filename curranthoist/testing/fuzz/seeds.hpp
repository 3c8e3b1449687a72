#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace curranthoist::testing::fuzz {

// Well-formed inputs for each fuzz target, by the target's name. Mutations of them reach
// what random bytes do not. `examples` is the folder of the example settings.
std::map<std::string, std::vector<std::vector<std::uint8_t>>>
all_seeds(const std::string& examples);

} // namespace curranthoist::testing::fuzz
