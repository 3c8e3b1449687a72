#pragma once

#include "curranthoist/base/findings.hpp"

#include <stdexcept>
#include <utility>

namespace curranthoist::base {

// Thrown when an input has mistakes; what() lists all of them, one a line.
class findings_error : public std::runtime_error
{
public:
    explicit findings_error(findings found)
        : std::runtime_error(found.str())
        , found_(std::move(found))
    {}

    [[nodiscard]] const findings& found() const { return found_; }

private:
    findings found_;
};

} // namespace curranthoist::base
