#pragma once

#include <stdexcept>

namespace curranthoist::ctl {

// Thrown when a configuration document can't be read; what() says which and why.
class unreadable_document : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace curranthoist::ctl
