#include "curranthoist/testing/platform/platform_fixture.hpp"

#include "curranthoist/http/status.hpp"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <thread>

namespace curranthoist::testing {

namespace {

constexpr std::uint16_t first_target_port = 9100;

nlohmann::json service_entry(const char* name)
{
    return {{"name", name},     {"health_check_path", "/health"}, {"max_connections", 26},
            {"protocol", "h1"}, {"tls_enabled", false},           {"cold_start_s", 3.0},
            {"cold_per_s", 0.0}};
}

nlohmann::json route_entry(const char* name, const char* prefix, const char* kind,
                           const char* host, unsigned timeout_ms)
{
    return {{"name", name},
            {"host", host},
            {"path_prefix", prefix},
            {"route_kind", kind},
            {"timeout_ms", timeout_ms},
            {"target_latency_ms", 500},
            {"priority", 1},
            {"max_attempts", 2}};
}

} // namespace

platform_fixture::platform_fixture()
{
    const std::string address = new_address();
    platform_.emplace(base::endpoint{address, list_port});
    std::uint16_t port = first_target_port;
    for (const char* const service : {"s0", "s1", "single"}) {
        for (const char* const copy : {"-a", "-b"}) {
            platform_->add({service + std::string(copy), service, {address, port++}});
        }
    }
    list_ = address + ":" + std::to_string(list_port);
}

void platform_fixture::add_vms(std::size_t count, bool forwarded)
{
    for (std::size_t i = 0; i < count; ++i) {
        vms_.push_back(new_address());
        advertised_.push_back(forwarded ? new_address() : vms_.back());
        if (forwarded) {
            const auto link = [&](std::uint16_t port) {
                return std::make_unique<tcp_forwarder>(
                    base::endpoint{advertised_.back(), port},
                    base::endpoint{vms_.back(), port});
            };
            peer_links_.push_back(link(peers_port));
            operator_links_.push_back(link(operators_port));
        }
    }
}

std::string platform_fixture::settings(std::size_t vm, bool first,
                                       const std::string& folder_name)
{
    std::string path = folder() + "/settings-" + std::to_string(vm) + "-" + folder_name;
    // A process that was started before may be reading the file.
    const std::string new_path = path + ".new";
    std::ofstream file(new_path);
    const std::string& own = vms_[vm];
    file << "node_name=vm-" << vm << "\nzone=z1\nip_address=" << advertised_[vm]
         << "\nlisten_addresses.front=" << own << ":" << callers_port
         << "\nlisten_addresses.ready=" << own << ":" << readiness_port
         << "\nlisten_addresses.control=" << own << ":" << operators_port
         << "\ninternal_port_range=" << peers_port << "," << peers_port + 15
         << "\nseed_nodes=";
    for (std::size_t i = 0; i < std::min(seeds_, vms_.size()); ++i) {
        file << (i == 0 ? "" : ",") << advertised_[i] << ":" << operators_port;
    }
    file << "\nfirst_start=" << (first ? "true" : "false") << "\ndata_directory="
         << (folder_name.empty()
                 ? ""
                 : folder() + "/data-" + std::to_string(vm) + "-" + folder_name)
         << "\nbounds.grace_period_s=6\nbounds.config_apply_ms=3000"
         << "\nbounds.retry_budget_ratio=0.2\nbounds.retry_budget_slack=58"
         << "\ncloud_api.address=" << list_
         << "\ncloud_api.rate_per_s=46.0\ncloud_api.max_lag_ms=800\n"
         << more_settings_;
    file.close();
    std::filesystem::rename(new_path, path);
    return path;
}

child_process& platform_fixture::start_core(std::size_t vm, bool first,
                                            const std::string& folder_name)
{
    std::vector<std::string> arguments{"--settings", settings(vm, first, folder_name),
                                       "--metrics-port",
                                       std::to_string(core_metrics_port)};
    arguments.insert(arguments.end(), core_options_.begin(), core_options_.end());
    return start("curranthoist-core", arguments);
}

child_process& platform_fixture::start_front(std::size_t vm)
{
    return start("curranthoist-front", {"--settings", settings(vm, true, "disk")});
}

void platform_fixture::start_all()
{
    for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
        cores_.push_back(&start_core(vm));
        fronts_.push_back(&start_front(vm));
    }
}

nlohmann::json platform_fixture::configuration(std::uint64_t version, unsigned timeout_ms)
{
    nlohmann::json query = route_entry("query", "/q/", "safe", host, timeout_ms);
    query["shard_services"] = {"s0", "s1"};
    query["top_k"] = 3;
    query["min_shard_share"] = 0.5;
    nlohmann::json order = route_entry("order", "/o/", "unsafe", host, timeout_ms);
    order["service"] = "single";
    nlohmann::json lookup = route_entry("lookup", "/l/", "safe", host, timeout_ms);
    lookup["service"] = "single";
    return {
        {"version", version},
        {"routes", {query, order, lookup}},
        {"services", {service_entry("s0"), service_entry("s1"), service_entry("single")}},
        {"limits", {{"max_body_bytes", 262144}}}};
}

nlohmann::json platform_fixture::wide_configuration(std::uint64_t version,
                                                    std::size_t count)
{
    const std::string address = new_address();
    std::uint16_t port = first_target_port;
    nlohmann::json result = configuration(version);
    nlohmann::json shards = nlohmann::json::array();
    for (std::size_t i = 0; i < count; ++i) {
        const std::string service = "w" + std::to_string(i);
        for (const char* const copy : {"-a", "-b"}) {
            platform_->add({service + copy, service, {address, port++}});
        }
        shards.push_back(service);
        result["services"].push_back(service_entry(service.c_str()));
    }
    result["routes"][0]["shard_services"] = shards;
    result["routes"][0]["min_shard_share"] = 0.95;
    return result;
}

unsigned platform_fixture::operate(const std::string& method, const std::string& path,
                                   const std::string& body, std::string* answer)
{
    for (const std::string& vm : vms_) {
        base::endpoint at{vm, operators_port};
        for (int redirects = 0; redirects < 2; ++redirects) {
            const http::target_result result =
                send(at, {.method = method, .path = path, .body = body});
            if (result.outcome != http::call_outcome::ok ||
                result.status == http::status::service_unavailable) {
                break;
            }
            if (result.status != http::status::temporary_redirect) {
                if (answer != nullptr) {
                    *answer = result.body;
                }
                return result.status;
            }
            std::string location = result.header("Location").value_or("");
            location = location.substr(std::string("http://").size());
            at = base::endpoint::parse(location.substr(0, location.find('/')))
                     .value_or(at);
        }
    }
    return 0;
}

bool platform_fixture::replace(const nlohmann::json& body, unsigned wanted)
{
    return wait_until([&] {
        return operate("POST", "/v1/configuration/replace", body.dump()) == wanted;
    });
}

std::uint64_t platform_fixture::version_read_back()
{
    std::string body;
    if (operate("GET", "/v1/configuration/get", "", &body) != http::status::ok) {
        return 0;
    }
    const auto read = nlohmann::json::parse(body, nullptr, false);
    return read.is_object() ? read.value("version", std::uint64_t{0}) : 0;
}

std::optional<std::int64_t> platform_fixture::core_metric(std::size_t vm,
                                                          const std::string& name)
{
    const http::target_result read =
        send({vms_[vm], core_metrics_port},
             {.method = "GET", .path = "/metrics", .time_limit = base::duration(500)});
    const std::string line = "\n" + name + " ";
    const std::size_t at = read.body.find(line);
    if (read.outcome != http::call_outcome::ok || at == std::string::npos) {
        return std::nullopt;
    }
    return std::stoll(read.body.substr(at + line.size()));
}

std::size_t platform_fixture::voters_added()
{
    std::size_t count = 0;
    for (const child_process* core : cores_) {
        const std::string output = core->output();
        for (std::size_t at = output.find("membership_change kind=1");
             at != std::string::npos;
             at = output.find("membership_change kind=1", at + 1)) {
            ++count;
        }
    }
    return count;
}

bool platform_fixture::ready(std::size_t vm)
{
    return wait_until_ready({vms_[vm], readiness_port}, "/v1/readiness");
}

http::target_result platform_fixture::ask(std::size_t vm, const std::string& path,
                                          const std::string& attempt,
                                          const std::string& method)
{
    return send({vms_[vm], callers_port}, {.method = method,
                                           .path = path,
                                           .headers = {{"Host", host},
                                                       {"Attempt-Id", attempt},
                                                       {"Deadline-Milliseconds", "3000"}},
                                           .body = method == "POST" ? "order" : "",
                                           .time_limit = base::duration(5000)});
}

std::vector<http::target_result>
platform_fixture::order_at_once(std::size_t vm, std::size_t count,
                                base::duration deadline,
                                const std::function<void()>& meanwhile)
{
    constexpr std::chrono::milliseconds arrival{300};
    const base::duration patience = deadline + base::duration(1000);
    std::vector<http::target_result> answers(count);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < count; ++i) {
        callers.emplace_back([&, i] {
            answers[i] = send(
                {vms_[vm], callers_port},
                {.path = "/o/1",
                 .headers = {{"Host", host},
                             {"Attempt-Id", "order-" + std::to_string(i)},
                             {"Deadline-Milliseconds", std::to_string(deadline.count())}},
                 .body = "order",
                 .time_limit = patience});
        });
    }
    std::this_thread::sleep_for(arrival);
    meanwhile();
    for (std::thread& caller : callers) {
        caller.join();
    }
    return answers;
}

} // namespace curranthoist::testing
