#pragma once

#include <string>
#include <vector>

namespace curranthoist::ctl {

// Reads a configuration document from a file. Stops one byte beyond the size that the
// core takes, so that a device or a wrong file can't fill the memory. Throws
// unreadable_document.
std::string read_document(const std::string& file);

// Reads the configuration in force from the control addresses, following redirects.
// Throws unreadable_document.
std::string fetch_document(const std::vector<std::string>& controls);

} // namespace curranthoist::ctl
