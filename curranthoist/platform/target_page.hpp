#pragma once

#include "curranthoist/deployment/listed_target.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace curranthoist::platform {

// One page of the platform's list of targets.
struct target_page
{
    std::vector<deployment::listed_target> targets;
    // Asks for the page that follows; empty on the last page.
    std::string next;
    // How many entries were left out, because they name no target to use, and why: one
    // line for each of the first ones.
    std::size_t rejected_count = 0;
    std::vector<std::string> rejected;
};

// The request path of the page that `token` asks for; empty asks for the first one.
std::string target_page_path(std::string_view token);

// Decodes a page. Nothing if `body` is no page at all; an entry that can't be used or
// read, however it is nested, is left out and the others hold.
std::optional<target_page> decode_target_page(std::string_view body);

} // namespace curranthoist::platform
