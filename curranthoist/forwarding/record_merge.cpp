#include "curranthoist/forwarding/record_merge.hpp"

#include <algorithm>
#include <functional>
#include <vector>

namespace curranthoist::forwarding {

std::string merge_records(std::span<const std::string_view> parts, std::size_t count)
{
    std::vector<std::string_view> records;
    for (const std::string_view part : parts) {
        for (std::size_t offset = 0; offset + record_bytes <= part.size();
             offset += record_bytes) {
            records.push_back(part.substr(offset, record_bytes));
        }
    }
    const std::size_t result_count = std::min(count, records.size());
    // std::string_view compares its bytes as unsigned values.
    std::partial_sort(records.begin(),
                      records.begin() + static_cast<std::ptrdiff_t>(result_count),
                      records.end(), std::greater<>());
    std::string result;
    result.reserve(result_count * record_bytes);
    for (std::size_t i = 0; i < result_count; ++i) {
        result.append(records[i]);
    }
    return result;
}

} // namespace curranthoist::forwarding
