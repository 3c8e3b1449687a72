#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace curranthoist::ctl {

// One line of metrics: name{labels} value. The views are of the text that was parsed.
struct metric_line
{
    std::string_view name;
    std::string_view labels;
    std::int64_t value = 0;

    // Returns nothing if the text is no such line.
    static std::optional<metric_line> parse(std::string_view text);
    // Takes the first line off the text.
    static std::string_view take_line(std::string_view& text);
    // The value of a label; nothing if it is not there.
    [[nodiscard]] std::optional<std::string_view>
    label(std::string_view label_name) const;
};

} // namespace curranthoist::ctl
