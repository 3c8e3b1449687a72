#include "curranthoist/settings/internal/report.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace curranthoist::settings::internal {

report::report(std::string file)
    : file_(std::move(file))
{}

void report::add(std::uint32_t line, std::uint32_t column, std::string text)
{
    list_.push_back({line, column, std::move(text)});
}

void report::throw_if_any()
{
    std::stable_sort(list_.begin(), list_.end(), [](const located& a, const located& b) {
        return std::tie(a.line, a.column) < std::tie(b.line, b.column);
    });
    base::findings found;
    for (const located& one : list_) {
        found.add(file_ + ":" + std::to_string(one.line) + ":" +
                      std::to_string(one.column),
                  one.text);
    }
    found.throw_if_any();
}

} // namespace curranthoist::settings::internal
