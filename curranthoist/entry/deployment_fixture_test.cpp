#include "curranthoist/entry/deployment_fixture_test.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace curranthoist::entry {

using nlohmann::json;

std::string deployment_fixture::write_file(const std::string& name,
                                           const std::string& text)
{
    std::string path = folder() + "/" + name;
    std::ofstream(path) << text;
    return path;
}

void deployment_fixture::start_control()
{
    control_ = new_address();
    const std::string peers = control_ + ":" + std::to_string(control_port);
    const std::string operators = control_ + ":" + std::to_string(operators_port);
    const std::string file = write_file(
        "control.toml", "name = \"c1\"\ndata_folder = \"" + folder() + "/data\"\n" +
                            control_lines_ + "[listen]\npeers = \"" + peers +
                            "\"\noperators = \"" + operators +
                            "\"\n[[members]]\nname = \"c1\"\npeer_address = \"" + peers +
                            "\"\noperators_address = \"" + operators + "\"\n");
    control_process_ =
        &start("curranthoist-control", {"--settings", file, "--init-cluster"});
    ASSERT_TRUE(wait_until_ready({control_, operators_port}, "/v1/status"));
    confirm({{"kind", "add_zone"}, {"zone", "a"}});
    confirm({{"kind", "add_zone"}, {"zone", "b"}});
}

void deployment_fixture::confirm(const json& intent)
{
    const base::endpoint operators{control_, operators_port};
    const json plan =
        json::parse(post_json(operators, "/v1/plan", {{"intent", intent}}).body);
    ASSERT_TRUE(plan.contains("plan_id")) << plan;
    const auto outcome = post_json(operators, "/v1/confirm",
                                   {{"intent_id", std::to_string(++intents_)},
                                    {"operator", "test"},
                                    {"plan_id", plan["plan_id"]},
                                    {"base_revision", plan["base_revision"]},
                                    {"intent", intent}});
    ASSERT_EQ(outcome.status, 200U) << outcome.body;
}

void deployment_fixture::add_service(const std::string& name, bool order, unsigned shards,
                                     unsigned replicas)
{
    json declared = json::array();
    for (unsigned i = 0; i < shards * replicas; ++i) {
        const unsigned shard = i / replicas;
        const std::string id = name + "-" + std::to_string(shard) +
                               static_cast<char>('a' + static_cast<char>(i % replicas));
        const std::string address = new_address();
        const std::string listen = address + ":" + std::to_string(target_port);
        std::vector<std::string> arguments{"--listen",
                                           listen,
                                           "--admin-listen",
                                           address + ":" + std::to_string(admin_port),
                                           "--id",
                                           id,
                                           "--service",
                                           name,
                                           "--service-ms",
                                           "2",
                                           "--service-shape",
                                           "fixed"};
        if (!order) {
            arguments.insert(arguments.end(),
                             {"--snapshot", "1:" + std::to_string(shard) + ":" +
                                                std::to_string(shards)});
        }
        targets_[id] = {address, &start("curranthoist-target", arguments)};
        declared.push_back({{"target", id},
                            {"zone", i % replicas == 0 ? "a" : "b"},
                            {"address", listen},
                            {"slots", 2},
                            {"connections", 25},
                            {"connect_cost_ms", 6}});
    }
    confirm({{"kind", "create_service"},
             {"service", name},
             {"service_kind", order ? "order" : "query"},
             {"targets", declared}});
}

void deployment_fixture::start_vm(const std::string& name, const std::string& address)
{
    const std::string file =
        write_file(name + ".toml", "vm = \"" + name + "\"\nzone = \"a\"\ncontrol = [\"" +
                                       control_ + ":" + std::to_string(control_port) +
                                       "\"]\nbalancer_delay_ms = 300\nstop_limit_ms = "
                                       "10000\n[listen]\ncallers = \"" +
                                       address + ":" + std::to_string(callers_port) +
                                       "\"\npeers = \"" + address + ":" +
                                       std::to_string(peers_port) + "\"\n" + vm_lines_);
    vms_.push_back({address, &start("curranthoist-entry", {"--settings", file})});
}

void deployment_fixture::add_vms(unsigned count)
{
    std::vector<std::string> addresses;
    for (unsigned i = 1; i <= count; ++i) {
        addresses.push_back(new_address());
        confirm({{"kind", "add_vm"},
                 {"vm", "vm-" + std::to_string(i)},
                 {"zone", "a"},
                 {"peer_address", addresses.back() + ":" + std::to_string(peers_port)}});
    }
    for (unsigned i = 1; i <= count; ++i) {
        start_vm("vm-" + std::to_string(i), addresses[i - 1]);
    }
}

bool deployment_fixture::wait_until_complete(const std::string& service)
{
    return testing::wait_until([&] {
        for (unsigned vm = 0; vm < vms_.size(); ++vm) {
            const auto result = query(vm, service);
            const json body = json::parse(result.body, nullptr, false);
            if (result.status != 200 || !body["coverage"]["complete"].get<bool>()) {
                return false;
            }
        }
        return true;
    });
}

http::target_result deployment_fixture::query(unsigned vm, const std::string& service,
                                              const std::string& deadline_ms)
{
    http::target_call call;
    call.path = "/v1/query/" + service;
    call.headers = {{"Deadline-Ms", deadline_ms}};
    call.body = "thickness";
    call.time_limit = base::duration(5000);
    return send(callers_of(vm), std::move(call));
}

http::target_result deployment_fixture::order(unsigned vm, const std::string& service,
                                              const std::string& id)
{
    http::target_call call;
    call.path = "/v1/order/" + service;
    call.headers = {{"Deadline-Ms", "2000"}, {"Request-Id", id}};
    call.body = "skin";
    call.time_limit = base::duration(5000);
    return send(callers_of(vm), std::move(call));
}

std::size_t deployment_fixture::order_runs(const std::string& id)
{
    std::size_t runs = 0;
    for (const auto& [name, target] : targets_) {
        http::target_call call;
        call.method = "GET";
        call.path = "/journal";
        std::istringstream lines(send({target.address, admin_port}, call).body);
        for (std::string line; std::getline(lines, line);) {
            const json run = json::parse(line, nullptr, false);
            runs += run.is_object() && run.value("request_id", "") == id ? 1 : 0;
        }
    }
    return runs;
}

} // namespace curranthoist::entry
