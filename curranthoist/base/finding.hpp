#pragma once

#include <string>

namespace curranthoist::base {

// One mistake in some input: where it is (such as "entry.toml:12:5" or
// "body.intent.zone") and what is wrong, in one sentence without a full stop.
struct finding
{
    std::string place;
    std::string text;

    bool operator==(const finding&) const = default;
};

} // namespace curranthoist::base
