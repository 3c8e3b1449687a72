#include "curranthoist/base/findings.hpp"
#include "curranthoist/http/status.hpp"
#include "curranthoist/testing/fault_parser.hpp"
#include "curranthoist/testing/stand_in_target.hpp"

#include <string>

namespace curranthoist::testing {

namespace {

using nlohmann::json;

json findings_json(const base::findings& found)
{
    json list = json::array();
    for (const base::finding& each : found.list()) {
        list.push_back({{"place", each.place}, {"text", each.text}});
    }
    return {{"findings", list}};
}

} // namespace

void stand_in_target::on_admin_request(const http::caller_request& request,
                                       const http::responder& answer)
{
    if (request.method == "POST" && request.path == "/fault") {
        apply_fault(request, answer);
        return;
    }
    http::caller_response response;
    if (request.path == "/journal") {
        response.headers["Content-Type"] = "application/x-ndjson";
        response.body = journal_.lines();
    }
    else if (request.path == "/journal/summary") {
        json summary = journal_.summary();
        summary["target"] = settings_.id;
        summary["boot_id"] = boot_id_;
        summary["slots_in_use"] = slots_in_use_;
        summary["connections"] = server_.live_connections();
        response.body = summary.dump();
    }
    else {
        response.status = http::status::not_found;
        response.body = R"({"error":"unknown path"})";
    }
    answer.respond(std::move(response));
}

void stand_in_target::apply_fault(const http::caller_request& request,
                                  const http::responder& answer)
{
    base::findings found;
    const std::optional<fault> command = parse_fault(request.body, found);
    if (!command) {
        const std::string body =
            findings_json(found).dump(-1, ' ', false, json::error_handler_t::replace);
        answer.respond({.status = http::status::bad_request, .body = body});
        return;
    }
    carry_out(*command);
    answer.respond({.body = "{}"});
}

void stand_in_target::carry_out(const fault& command)
{
    const json& values = command.command;
    if (command.name == "stall_connections") {
        connections_.stall_all();
    }
    else if (command.name == "turn_cold") {
        cold_.turn_cold(clock_.now());
    }
    else if (command.name == "vanish_snapshot") {
        const std::uint64_t version = values["version"];
        std::erase_if(snapshots_, [version](const held_snapshot& held) {
            return held.version == version;
        });
    }
    else if (command.name == "add_snapshot") {
        snapshots_.insert({values["version"], values["shard"], values["shards"]});
    }
    else if (command.name == "clear") {
        faults_.clear(values.value("name", ""));
    }
    else {
        set_status_lie(command);
        faults_.set(command, clock_.now());
    }
}

void stand_in_target::set_status_lie(const fault& command)
{
    if (command.name != "lie_status") {
        return;
    }
    status_lie_ = command.command.value("freeze", false) ? true_status() : json::object();
    status_lie_.update(command.command.value("override", json::object()));
}

json stand_in_target::true_status() const
{
    json snapshots = json::array();
    for (const held_snapshot& held : snapshots_) {
        snapshots.push_back(
            {{"version", held.version}, {"shard", held.shard}, {"shards", held.shards}});
    }
    return {{"boot_id", boot_id_},
            {"draining", is_draining()},
            {"in_use", slots_in_use_},
            {"slots", settings_.slots},
            {"connections", connections_.size()},
            {"snapshots", snapshots}};
}

json stand_in_target::reported_status() const
{
    json status = true_status();
    if (faults_.find("lie_status", clock_.now()) != nullptr) {
        status.update(status_lie_);
    }
    return status;
}

} // namespace curranthoist::testing
