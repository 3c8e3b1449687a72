#pragma once

#include <cstddef>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace curranthoist::ctl {

// One line of a log file about a request.
struct story_line
{
    // The value of `time`; lines without one come first.
    std::string time;
    std::string file;
    std::string text;
};

// The lines of a log that name the request `id` in the field `id`, in their order.
std::vector<story_line> lines_about(std::istream& log, const std::string& file,
                                    std::string_view id);

// Prints the lines of all files in the order of time, each with its file. Throws
// base::findings_error naming every file that can't be read. Returns how many lines there
// were.
std::size_t print_story(std::ostream& out, const std::vector<std::string>& files,
                        std::string_view id);

} // namespace curranthoist::ctl
