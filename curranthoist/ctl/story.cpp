#include "curranthoist/ctl/story.hpp"

#include "curranthoist/base/findings.hpp"

#include <algorithm>
#include <fstream>
#include <istream>
#include <iterator>
#include <ostream>

namespace curranthoist::ctl {

namespace {

// The value of a field `name=value` that ends at a space or the end of the line.
std::string_view field(std::string_view line, std::string_view name)
{
    std::size_t at = line.find(name);
    while (at != std::string_view::npos) {
        if (at == 0 || line[at - 1] == ' ') {
            const std::size_t begin = at + name.size();
            return line.substr(begin, line.find(' ', begin) - begin);
        }
        at = line.find(name, at + 1);
    }
    return {};
}

} // namespace

std::vector<story_line> lines_about(std::istream& log, const std::string& file,
                                    std::string_view id)
{
    std::vector<story_line> found;
    for (std::string line; std::getline(log, line);) {
        if (field(line, "id=") != id) {
            continue;
        }
        // The date and the time of day are two words.
        const std::size_t at = line.find("time=");
        const std::size_t end = at == std::string::npos ? at : line.find(" level=", at);
        std::string time =
            end == std::string::npos ? std::string() : line.substr(at, end - at);
        found.push_back({std::move(time), file, std::move(line)});
    }
    return found;
}

std::size_t print_story(std::ostream& out, const std::vector<std::string>& files,
                        std::string_view id)
{
    base::findings problems;
    std::vector<story_line> lines;
    for (const std::string& file : files) {
        std::ifstream log(file);
        if (!log) {
            problems.add(file, "can't be read");
            continue;
        }
        auto found = lines_about(log, file, id);
        std::move(found.begin(), found.end(), std::back_inserter(lines));
    }
    problems.throw_if_any();
    std::stable_sort(lines.begin(), lines.end(),
                     [](const auto& a, const auto& b) { return a.time < b.time; });
    for (const story_line& line : lines) {
        out << line.file << ": " << line.text << "\n";
    }
    return lines.size();
}

} // namespace curranthoist::ctl
