#include "curranthoist/platform/target_page.hpp"

#include <cstdint>
#include <cstdlib>
#include <span>
#include <string>

// A page of the list of targets. Whatever it holds, every target that is taken from it
// can be used, every entry that is left out is counted, and what is logged of them is
// short.

namespace curranthoist::testing::fuzz {

namespace {

void require(bool holds)
{
    if (!holds) {
        std::abort();
    }
}

void run(std::span<const std::uint8_t> input)
{
    constexpr std::size_t max_line_bytes = 300;
    const std::string body(input.begin(), input.end());
    const auto page = platform::decode_target_page(body);
    if (!page) {
        return;
    }
    for (const deployment::listed_target& target : page->targets) {
        require(!target.id.empty() && !target.service.empty());
        require(target.address.port != 0 && !target.address.address.empty());
        require(target.remaining_cold_time >= base::duration());
    }
    require(page->rejected.size() <= page->rejected_count);
    for (const std::string& line : page->rejected) {
        require(line.size() < max_line_bytes);
    }
    require(platform::target_page_path(page->next).find_first_of(" \r\n") ==
            std::string::npos);
}

} // namespace

} // namespace curranthoist::testing::fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    curranthoist::testing::fuzz::run({data, size});
    return 0;
}
