#include "curranthoist/base/wall_clock.hpp"
#include "curranthoist/testing/proof/deployment.hpp"

#include <algorithm>
#include <sstream>

namespace curranthoist::testing {

using nlohmann::json;

http::target_result deployment::query(unsigned vm, const std::string& service,
                                      const std::string& deadline_ms,
                                      const std::string& id)
{
    http::target_call call;
    call.path = "/v1/query/" + service;
    call.headers = {{"Deadline-Ms", deadline_ms}};
    if (!id.empty()) {
        call.headers["Request-Id"] = id;
    }
    call.body = "thickness";
    call.time_limit = base::duration(5000);
    return send({vms_.at(vm).address, callers_port}, std::move(call));
}

http::target_result deployment::order(unsigned vm, const std::string& service,
                                      const std::string& id)
{
    http::target_call call;
    call.path = "/v1/order/" + service;
    call.headers = {{"Deadline-Ms", "2000"}, {"Request-Id", id}};
    call.body = "skin";
    call.time_limit = base::duration(5000);
    return send({vms_.at(vm).address, callers_port}, std::move(call));
}

std::string deployment::new_order_id(const std::string& unique)
{
    return std::to_string(base::wall_clock().now().count()) + "-" + unique;
}

bool deployment::is_ready(unsigned vm)
{
    constexpr unsigned ok = 200;
    const auto result = request({vms_.at(vm).address, callers_port}, "GET", "/ready", "");
    return result.outcome == http::call_outcome::ok && result.status == ok;
}

double deployment::metric(unsigned vm, const std::string& name)
{
    double sum = 0;
    std::istringstream lines(
        request({vms_.at(vm).address, callers_port}, "GET", "/metrics", "").body);
    for (std::string line; std::getline(lines, line);) {
        const std::size_t space = line.rfind(' ');
        if (line.rfind(name, 0) == 0 && space != std::string::npos) {
            sum += std::stod(line.substr(space));
        }
    }
    return sum;
}

void deployment::fault(const std::string& target, const json& command)
{
    const auto result =
        post_json({targets_.at(target).address, admin_port}, "/fault", command);
    EXPECT_EQ(result.status, 200U) << result.body;
}

json deployment::summary(const std::string& target)
{
    return get_json({targets_.at(target).address, admin_port}, "/journal/summary");
}

std::vector<json> deployment::runs(const std::string& target)
{
    std::vector<json> result;
    std::istringstream lines(
        request({targets_.at(target).address, admin_port}, "GET", "/journal", "").body);
    for (std::string line; std::getline(lines, line);) {
        result.push_back(json::parse(line));
    }
    return result;
}

std::size_t deployment::order_runs(const std::string& id)
{
    std::size_t count = 0;
    for (const auto& [name, one] : targets_) {
        if (!one.process->is_running()) {
            continue;
        }
        for (const json& run : runs(name)) {
            count += run["kind"] == "order" && run["request_id"] == id ? 1 : 0;
        }
    }
    return count;
}

std::int64_t deployment::last_start_in_zone(const std::string& zone)
{
    std::int64_t latest = 0;
    for (const auto& [name, one] : targets_) {
        if (one.zone != zone) {
            continue;
        }
        const json figures = summary(name);
        for (const char* kind : {"parts", "orders"}) {
            latest = std::max(latest, figures[kind]["last_start_ms"].get<std::int64_t>());
        }
    }
    return latest;
}

} // namespace curranthoist::testing
