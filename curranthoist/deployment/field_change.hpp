#pragma once

#include "curranthoist/deployment/configuration_field.hpp"

#include <string>

namespace curranthoist::deployment {

// A field that differs between two configurations, with its values as text.
struct field_change
{
    configuration_field field = configuration_field::entry;
    std::string before;
    std::string after;

    bool operator==(const field_change&) const = default;
};

} // namespace curranthoist::deployment
