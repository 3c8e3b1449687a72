#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

namespace curranthoist::http {

// Orders header names without regard to the case of ASCII letters.
struct header_less
{
    using is_transparent = void;

    bool operator()(std::string_view a, std::string_view b) const
    {
        return std::lexicographical_compare(
            a.begin(), a.end(), b.begin(), b.end(),
            [](char x, char y) { return lower(x) < lower(y); });
    }

private:
    static char lower(char letter)
    {
        return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a')
                                              : letter;
    }
};

// Header fields by name. A field that occurs twice keeps its first value.
using header_map = std::map<std::string, std::string, header_less>;

} // namespace curranthoist::http
