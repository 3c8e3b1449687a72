#pragma once

#include "curranthoist/base/identifiers.hpp"

#include <string_view>
#include <variant>

namespace curranthoist::platform {

// What an operator asks of a control process.
struct replace_configuration_call
{};
struct read_configuration_call
{};
struct evacuation_call
{
    base::zone_id zone;
    // False withdraws the evacuation.
    bool start = true;
};
struct start_rollout_call
{};
struct read_rollout_call
{
    base::service_id service;
};
struct unknown_call
{};
using operator_call =
    std::variant<unknown_call, replace_configuration_call, read_configuration_call,
                 evacuation_call, start_rollout_call, read_rollout_call>;

// Reads method and path of an operator's request.
operator_call decode_operator_call(std::string_view method, std::string_view path);

} // namespace curranthoist::platform
