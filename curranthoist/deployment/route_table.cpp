#include "curranthoist/deployment/route_table.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace curranthoist::deployment {

namespace {

std::string normalize_host(std::string_view host)
{
    std::string result(host.substr(0, host.find(':')));
    std::transform(result.begin(), result.end(), result.begin(), [](char letter) {
        return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a')
                                              : letter;
    });
    return result;
}

std::vector<base::service_id> collect_services(const configuration& source)
{
    std::set<base::service_id> result;
    for (const route& configured_route : source.routes) {
        result.insert(configured_route.shards.begin(), configured_route.shards.end());
        for (const weighted_service& service : configured_route.services) {
            result.insert(service.service);
        }
    }
    return {result.begin(), result.end()};
}

} // namespace

route_table::route_table(configuration source_configuration)
    : source_(std::move(source_configuration))
    , teams_(source_.teams)
    , services_(collect_services(source_))
{
    for (const route& configured_route : source_.routes) {
        hosts_[normalize_host(configured_route.host)][configured_route.path_prefix] =
            &configured_route;
    }
}

const route* route_table::find(std::string_view host, std::string_view path) const
{
    const auto routes = hosts_.find(normalize_host(host));
    if (routes == hosts_.end()) {
        return nullptr;
    }
    std::string_view prefix = path.substr(0, path.find('?'));
    // Every prefix of a route ends with '/', so only the parts of the path up to one of
    // its slashes can match.
    while (!prefix.empty()) {
        const std::size_t slash = prefix.rfind('/');
        if (slash == std::string_view::npos) {
            return nullptr;
        }
        const auto found = routes->second.find(prefix.substr(0, slash + 1));
        if (found != routes->second.end()) {
            return found->second;
        }
        prefix = prefix.substr(0, slash);
    }
    return nullptr;
}

} // namespace curranthoist::deployment
