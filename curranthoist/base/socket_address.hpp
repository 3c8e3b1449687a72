#pragma once

#include "curranthoist/base/endpoint.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>

namespace curranthoist::base {

// The kernel's form of an endpoint. The endpoint's address must be IPv4 in dotted form.
inline sockaddr_in socket_address(const endpoint& point)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(point.port);
    inet_pton(AF_INET, point.address.c_str(), &result.sin_addr);
    return result;
}

} // namespace curranthoist::base
