#include "curranthoist/ctl/metric_line.hpp"

#include <algorithm>
#include <charconv>
#include <string>

namespace curranthoist::ctl {

std::optional<metric_line> metric_line::parse(std::string_view text)
{
    const std::size_t open = text.find('{');
    const std::size_t close = text.rfind("} ");
    if (open == std::string_view::npos || close == std::string_view::npos ||
        close < open) {
        return std::nullopt;
    }
    const std::string_view number = text.substr(close + 2);
    metric_line result{text.substr(0, open), text.substr(open + 1, close - open - 1), 0};
    const auto parsed =
        std::from_chars(number.data(), number.data() + number.size(), result.value);
    return parsed.ec == std::errc() ? std::optional(result) : std::nullopt;
}

std::string_view metric_line::take_line(std::string_view& text)
{
    const std::string_view line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(line.size() + 1, text.size()));
    return line;
}

std::optional<std::string_view> metric_line::label(std::string_view label_name) const
{
    const std::string begin = std::string(label_name) + "=\"";
    const std::size_t at = labels.find(begin);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view rest = labels.substr(at + begin.size());
    const std::size_t end = rest.find('"');
    return end == std::string_view::npos ? std::nullopt
                                         : std::optional(rest.substr(0, end));
}

} // namespace curranthoist::ctl
