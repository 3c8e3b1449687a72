#include "curranthoist/base/findings.hpp"

#include "curranthoist/base/findings_error.hpp"

#include <utility>

namespace curranthoist::base {

void findings::add(std::string place, std::string text)
{
    list_.push_back({std::move(place), std::move(text)});
}

void findings::merge(const findings& other)
{
    list_.insert(list_.end(), other.list_.begin(), other.list_.end());
}

std::string findings::str() const
{
    std::string text;
    for (const finding& one : list_) {
        text += one.place + ": " + one.text + "\n";
    }
    return text;
}

void findings::throw_if_any() const
{
    if (!list_.empty()) {
        throw findings_error(*this);
    }
}

} // namespace curranthoist::base
