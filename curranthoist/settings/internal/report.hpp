#pragma once

#include "curranthoist/base/findings.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace curranthoist::settings::internal {

// Collects the mistakes of one file in any order and reports them in the file's order.
class report
{
public:
    explicit report(std::string file);

    void add(std::uint32_t line, std::uint32_t column, std::string text);
    // Throws base::findings_error with all mistakes unless there are none.
    void throw_if_any();

private:
    struct located
    {
        std::uint32_t line;
        std::uint32_t column;
        std::string text;
    };

    std::string file_;
    std::vector<located> list_;
};

} // namespace curranthoist::settings::internal
