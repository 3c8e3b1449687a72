#include "curranthoist/testing/proof/deployment.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace curranthoist::testing {

using nlohmann::json;

namespace {

constexpr unsigned ok = 200;
constexpr unsigned conflict = 409;

json parsed(const http::target_result& result)
{
    json body = json::parse(result.body, nullptr, false);
    return body.is_discarded() ? json(nullptr) : body;
}

std::string zone_of(unsigned number)
{
    return number % 2 == 0 ? "a" : "b";
}

std::string with_port(const std::string& address, std::uint16_t port)
{
    return base::endpoint{address, port}.str();
}

} // namespace

http::target_result deployment::request(const base::endpoint& remote,
                                        const std::string& method,
                                        const std::string& path, const std::string& body,
                                        base::duration limit)
{
    http::target_call call;
    call.method = method;
    call.path = path;
    call.body = body;
    call.time_limit = limit;
    return send(remote, std::move(call));
}

std::string deployment::write_file(const std::string& name, const std::string& text)
{
    std::string path = folder() + "/" + name;
    std::ofstream(path) << text;
    return path;
}

tcp_forwarder& deployment::add_link(const std::string& from, const std::string& to,
                                    const base::endpoint& upstream)
{
    const std::string address = new_address();
    link_addresses_[{from, to}] = address;
    auto& added = links_[{from, to}];
    added =
        std::make_unique<tcp_forwarder>(base::endpoint{address, upstream.port}, upstream);
    return *added;
}

void deployment::write_member_settings(unsigned member, bool through_links)
{
    control_member& self = members_.at(member);
    std::ostringstream text;
    text << "name = \"" << self.name << "\"\ndata_folder = \"" << folder() << "/data-"
         << self.name << "\"\nsnapshot_interval_entries = 64\n[listen]\npeers = \""
         << with_port(self.address, peers_port) << "\"\noperators = \""
         << with_port(self.address, operators_port) << "\"\n";
    for (const control_member& other : members_) {
        // The way to another member differs between members, so that one can be cut.
        const std::string address = through_links && other.name != self.name
                                        ? link_addresses_.at({self.name, other.name})
                                        : other.address;
        text << "[[members]]\nname = \"" << other.name << "\"\npeer_address = \""
             << with_port(address, peers_port) << "\"\noperators_address = \""
             << with_port(other.address, operators_port) << "\"\n";
    }
    self.settings = write_file(self.name + ".toml", text.str());
}

void deployment::start_control(unsigned count, bool through_links)
{
    for (unsigned i = 1; i <= count; ++i) {
        members_.push_back({"c" + std::to_string(i), new_address(), {}, nullptr});
    }
    if (through_links) {
        for (const control_member& from : members_) {
            for (const control_member& to : members_) {
                if (from.name != to.name) {
                    add_link(from.name, to.name, {to.address, peers_port});
                }
            }
        }
    }
    for (unsigned i = 0; i < count; ++i) {
        write_member_settings(i, through_links);
        start_member(i, {"--init-cluster"});
    }
    apply({{"kind", "add_zone"}, {"zone", "a"}});
    apply({{"kind", "add_zone"}, {"zone", "b"}});
}

void deployment::add_replacement(const std::string& name)
{
    members_.push_back({name, new_address(), {}, nullptr});
    write_member_settings(static_cast<unsigned>(members_.size() - 1), false);
}

void deployment::start_member(unsigned member, const std::vector<std::string>& options)
{
    control_member& one = members_.at(member);
    std::vector<std::string> arguments{"--settings", one.settings};
    arguments.insert(arguments.end(), options.begin(), options.end());
    one.process = &start("curranthoist-control", arguments);
}

void deployment::isolate(unsigned member, bool cut)
{
    for (auto& [ends, forwarder] : links_) {
        if (ends.first == members_.at(member).name ||
            ends.second == members_.at(member).name) {
            forwarder->cut(cut, cut);
        }
    }
}

std::optional<unsigned> deployment::find_leader()
{
    for (unsigned i = 0; i < members_.size(); ++i) {
        if (members_[i].process == nullptr || !members_[i].process->is_running()) {
            continue;
        }
        const auto result = request({members_[i].address, operators_port}, "GET",
                                    "/v1/status", "", base::duration(500));
        if (result.outcome == http::call_outcome::ok && result.status == ok) {
            return i;
        }
    }
    return std::nullopt;
}

unsigned deployment::leader(base::duration limit)
{
    std::optional<unsigned> found;
    EXPECT_TRUE(wait_until(
        [&] {
            found = find_leader();
            return found.has_value();
        },
        limit))
        << "no control member leads";
    return found.value_or(0);
}

deployment::prepared_change deployment::prepare(const json& intent)
{
    json plan;
    wait_until([&] {
        const unsigned member = find_leader().value_or(0);
        plan = parsed(request({members_.at(member).address, operators_port}, "POST",
                              "/v1/plan", json({{"intent", intent}}).dump()));
        return plan.is_object() && plan.contains("plan_id");
    });
    EXPECT_TRUE(plan.is_object() && plan.contains("plan_id")) << plan;
    return {{{"intent_id", "intent-" + std::to_string(++intents_)},
             {"operator", "test"},
             {"plan_id", plan.is_object() ? plan.value("plan_id", "") : ""},
             {"base_revision", plan.is_object() ? plan.value("base_revision", 0) : 0},
             {"intent", intent}}};
}

deployment::operator_answer deployment::confirm_at(unsigned member,
                                                   const prepared_change& change)
{
    const auto result = request({members_.at(member).address, operators_port}, "POST",
                                "/v1/confirm", change.request.dump());
    const bool whole = result.outcome == http::call_outcome::ok;
    return {whole ? result.status : 0, whole ? parsed(result) : json(nullptr)};
}

deployment::operator_answer deployment::confirm(const prepared_change& change)
{
    operator_answer answer;
    wait_until(
        [&] {
            const auto member = find_leader();
            answer = member ? confirm_at(*member, change) : operator_answer{};
            return answer.status == ok || answer.status == conflict ||
                   answer.status == 422;
        },
        base::duration(15'000));
    return answer;
}

json deployment::apply(const json& intent)
{
    operator_answer answer;
    wait_until([&] {
        answer = confirm(prepare(intent));
        return answer.status != conflict;
    });
    EXPECT_EQ(answer.status, ok) << intent << answer.body;
    return answer.body;
}

json deployment::from_leader(const std::string& path)
{
    json body;
    wait_until([&] {
        const auto member = find_leader();
        const auto result = request(
            {members_.at(member.value_or(0)).address, operators_port}, "GET", path, "");
        body = result.status == ok ? parsed(result) : json(nullptr);
        return !body.is_null();
    });
    return body;
}

bool deployment::wait_until_in_force(base::duration limit)
{
    return wait_until(
        [&] {
            const json status = from_leader("/v1/status");
            return status.is_object() &&
                   std::all_of(
                       status["vms"].begin(), status["vms"].end(), [](const json& vm) {
                           return vm["connected"] == true && vm["lag_revisions"] == 0;
                       });
        },
        limit);
}

void deployment::add_service(const std::string& name, bool order, unsigned shards,
                             unsigned replicas, const std::vector<std::string>& options,
                             bool linked)
{
    json declared = json::array();
    for (unsigned i = 0; i < shards * replicas; ++i) {
        const unsigned shard = i / replicas;
        const std::string id = name + "-" + std::to_string(shard) +
                               static_cast<char>('a' + static_cast<char>(i % replicas));
        const std::string zone = zone_of(i % replicas);
        const std::string address = new_address();
        const base::endpoint listen{address, target_port};
        std::vector<std::string> arguments{"--listen",
                                           listen.str(),
                                           "--admin-listen",
                                           with_port(address, admin_port),
                                           "--id",
                                           id,
                                           "--service",
                                           name,
                                           "--service-shape",
                                           "fixed",
                                           "--shard",
                                           std::to_string(shard),
                                           "--shards",
                                           std::to_string(shards)};
        if (std::find(options.begin(), options.end(), "--service-ms") == options.end()) {
            arguments.insert(arguments.end(), {"--service-ms", "2"});
        }
        arguments.insert(arguments.end(), options.begin(), options.end());
        targets_[id] = {zone, address, &start("curranthoist-target", arguments)};
        if (linked) {
            add_link("vm", id, listen);
        }
        const std::string reached =
            linked ? with_port(link_addresses_.at({"vm", id}), target_port)
                   : listen.str();
        declared.push_back({{"target", id},
                            {"zone", zone},
                            {"address", reached},
                            {"slots", 2},
                            {"connections", 25},
                            {"connect_cost_ms", 6}});
    }
    apply({{"kind", "create_service"},
           {"service", name},
           {"service_kind", order ? "order" : "query"},
           {"targets", declared}});
}

std::string deployment::control_addresses(const std::string& vm, bool linked)
{
    std::string list;
    for (const control_member& one : members_) {
        if (linked) {
            add_link(vm, one.name, {one.address, peers_port});
        }
        const std::string address =
            linked ? link_addresses_.at({vm, one.name}) : one.address;
        list += (list.empty() ? "\"" : ", \"") + with_port(address, peers_port) + "\"";
    }
    return "[" + list + "]";
}

void deployment::add_vms(unsigned count, bool linked)
{
    for (unsigned i = 0; i < count; ++i) {
        const std::string name = "vm-" + std::to_string(i + 1);
        const std::string address = new_address();
        const std::string settings = write_file(
            name + ".toml", "vm = \"" + name + "\"\nzone = \"" + zone_of(i) +
                                "\"\ncontrol = " + control_addresses(name, linked) +
                                "\nlog_level = \"info\"\nbalancer_delay_ms = 300\n"
                                "stop_limit_ms = 10000\n[listen]\ncallers = \"" +
                                with_port(address, callers_port) + "\"\npeers = \"" +
                                with_port(address, peers_port) + "\"\n");
        vms_.push_back({name, address, settings, nullptr});
        apply({{"kind", "add_vm"},
               {"vm", name},
               {"zone", zone_of(i)},
               {"peer_address", with_port(address, peers_port)}});
    }
    for (unsigned i = 0; i < count; ++i) {
        start_vm(i);
    }
}

void deployment::start_vm(unsigned vm)
{
    vms_.at(vm).process =
        &start("curranthoist-entry", {"--settings", vms_.at(vm).settings});
}

bool deployment::wait_until_complete(const std::string& service)
{
    return wait_until(
        [&] {
            for (unsigned vm = 0; vm < vms_.size(); ++vm) {
                const auto result = query(vm, service);
                if (result.status != ok ||
                    !parsed(result)["coverage"]["complete"].get<bool>()) {
                    return false;
                }
            }
            return true;
        },
        base::duration(20'000));
}

} // namespace curranthoist::testing
