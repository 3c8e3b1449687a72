#include "curranthoist/deployment/team_table.hpp"
#include "curranthoist/platform/caller_exchange.hpp"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// A caller's headers for key and team. The input is header lines. A team is found only
// for a key that it holds; what the caller sent of key and team does not reach a target
// that is told a team or none; without teams all headers go on.

namespace curranthoist::testing::fuzz {

namespace {

void require(bool holds)
{
    if (!holds) {
        std::abort();
    }
}

bool equal_names(std::string_view a, std::string_view b)
{
    const auto lower = [](char one) {
        return one >= 'A' && one <= 'Z' ? static_cast<char>(one - 'A' + 'a') : one;
    };
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [lower](char x, char y) { return lower(x) == lower(y); });
}

http::caller_request request_of(std::span<const std::uint8_t> input)
{
    http::caller_request result;
    result.method = "GET";
    std::string_view lines(reinterpret_cast<const char*>(input.data()), input.size());
    while (!lines.empty()) {
        // The server takes no header with either of these.
        const std::string_view line = lines.substr(0, lines.find_first_of("\r\n"));
        lines.remove_prefix(std::min(line.size() + 1, lines.size()));
        if (const std::size_t colon = line.find(':'); colon != std::string_view::npos) {
            result.headers[std::string(line.substr(0, colon))] = line.substr(colon + 1);
        }
    }
    return result;
}

// The values of the lines with that name.
std::vector<std::string_view> values(std::string_view lines, std::string_view name)
{
    std::vector<std::string_view> result;
    while (!lines.empty()) {
        const std::size_t end = lines.find("\r\n");
        require(end != std::string_view::npos);
        const std::string_view line = lines.substr(0, end);
        lines.remove_prefix(end + 2);
        const std::size_t colon = line.find(": ");
        require(colon != std::string_view::npos);
        if (equal_names(line.substr(0, colon), name)) {
            result.push_back(line.substr(colon + 2));
        }
    }
    return result;
}

void run(std::span<const std::uint8_t> input)
{
    const std::vector<deployment::team> teams{{"team-a", {"key-1", "key-2"}, 1, 0, 0},
                                              {"team-b", {"key-3"}, 0, 5, 5}};
    const deployment::team_table table(teams);
    const platform::inbound_request request =
        platform::decode_caller_request(request_of(input));
    const deployment::team* const found = table.find(request.key);
    for (const deployment::team& one : teams) {
        const bool holds =
            std::find(one.keys.begin(), one.keys.end(), request.key) != one.keys.end();
        require(holds == (found == &one));
    }
    require(values(*request.header_lines, "Key").empty());
    require(values(*request.header_lines, "Tenant").empty());

    platform::inbound_request told = request;
    platform::set_team(told, "team-a");
    const http::target_call call =
        platform::encode_target_call(told, base::target_id("i-1"), base::duration(1000));
    require(values(*call.common_headers, "Key").empty());
    require(values(*call.common_headers, "Tenant") ==
            std::vector<std::string_view>{"team-a"});
    require(!call.headers.contains("Key") && !call.headers.contains("Tenant"));

    platform::inbound_request kept = request;
    platform::keep_team_headers(kept);
    require(*kept.header_lines == *request.header_lines + request.team_lines);
}

} // namespace

} // namespace curranthoist::testing::fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    curranthoist::testing::fuzz::run({data, size});
    return 0;
}
