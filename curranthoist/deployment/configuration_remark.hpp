#pragma once

#include "curranthoist/deployment/configuration_field.hpp"
#include "curranthoist/deployment/configuration_part.hpp"

#include <cstddef>
#include <optional>
#include <string>

namespace curranthoist::deployment {

// Something in a valid configuration that is probably not meant.
struct configuration_remark
{
    configuration_part part = configuration_part::whole;
    // The entry's place among the routes or teams; 0 for other parts.
    std::size_t index = 0;
    // The service's name; empty for other parts.
    std::string service;
    configuration_field field = configuration_field::entry;
    // The place in a field that is a list.
    std::optional<std::size_t> element;
    // What is wrong, in one sentence without a full stop.
    std::string text;
};

} // namespace curranthoist::deployment
