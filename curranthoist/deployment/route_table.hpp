#pragma once

#include "curranthoist/deployment/configuration.hpp"
#include "curranthoist/deployment/team_table.hpp"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace curranthoist::deployment {

// Finds the route of a request in one configuration: the one with the longest path prefix
// that matches among the routes of the host. The table owns the routes.
//
//     const route_table table(configuration);
//     const route* found = table.find("shop.example", "/orders/17?full=1");
class route_table
{
public:
    explicit route_table(configuration source_configuration);
    route_table(const route_table&) = delete;
    route_table& operator=(const route_table&) = delete;

    // Returns the route for a host and a path with or without a query, or null if none
    // matches. A port in `host` and the case of its letters are ignored. The table owns
    // the route.
    [[nodiscard]] const route* find(std::string_view host, std::string_view path) const;
    [[nodiscard]] const configuration& source() const { return source_; }
    // The teams of the configuration.
    [[nodiscard]] const team_table& teams() const { return teams_; }
    // All services that the routes name, sorted and without duplicates.
    [[nodiscard]] const std::vector<base::service_id>& services() const
    {
        return services_;
    }

private:
    using prefix_map = std::map<std::string, const route*, std::less<>>;

    configuration source_;
    team_table teams_;
    std::vector<base::service_id> services_;
    std::map<std::string, prefix_map, std::less<>> hosts_;
};

} // namespace curranthoist::deployment
