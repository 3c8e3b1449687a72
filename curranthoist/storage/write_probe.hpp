#pragma once

#include <string>

namespace curranthoist::storage {

// Creates the folder if it is missing, and writes, syncs and removes a small file in it.
// Returns what failed, or an empty text if the disk takes writes. It blocks for as long
// as the disk does.
std::string write_failure(const std::string& folder);

} // namespace curranthoist::storage
