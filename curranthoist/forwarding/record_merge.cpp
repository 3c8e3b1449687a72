#include "curranthoist/forwarding/record_merge.hpp"

#include <algorithm>
#include <functional>
#include <vector>

namespace curranthoist::forwarding {

std::string merge_records(std::span<const std::string_view> parts, std::size_t count)
{
    std::vector<std::string_view> records;
    for (const std::string_view part : parts) {
        for (std::size_t at = 0; at + record_bytes <= part.size(); at += record_bytes) {
            records.push_back(part.substr(at, record_bytes));
        }
    }
    const std::size_t kept = std::min(count, records.size());
    // std::string_view compares its bytes as unsigned values.
    std::partial_sort(records.begin(),
                      records.begin() + static_cast<std::ptrdiff_t>(kept), records.end(),
                      std::greater<>());
    std::string result;
    result.reserve(kept * record_bytes);
    for (std::size_t i = 0; i < kept; ++i) {
        result.append(records[i]);
    }
    return result;
}

} // namespace curranthoist::forwarding
