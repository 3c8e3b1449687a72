#include "curranthoist/control/configuration_codec.hpp"

#include "curranthoist/base/findings.hpp"
#include "curranthoist/control/configuration.hpp"
#include "curranthoist/control/configuration_delta.hpp"

#include <memory>
#include <string>
#include <utility>

namespace curranthoist::control {

namespace {

template <class Message>
void append(std::vector<std::unique_ptr<Message>>& list, Message message)
{
    list.push_back(std::make_unique<Message>(std::move(message)));
}

wire::zone_entry_message pack(const base::zone_id& id, const zone_spec& spec)
{
    wire::zone_entry_message entry;
    entry.id = id.str();
    entry.in_service = spec.in_service;
    return entry;
}

wire::service_entry_message pack(const base::service_id& id, const service_spec& spec)
{
    wire::service_entry_message entry;
    entry.id = id.str();
    entry.kind = static_cast<wire::service_kind>(spec.kind);
    entry.demand_complete = spec.demand_complete;
    entry.default_deadline_ms = static_cast<std::uint64_t>(spec.default_deadline.count());
    entry.max_deadline_ms = static_cast<std::uint64_t>(spec.max_deadline.count());
    entry.max_body_bytes = spec.max_body_bytes;
    return entry;
}

wire::target_entry_message pack(const base::target_id& id, const target_spec& spec)
{
    wire::target_entry_message entry;
    entry.id = id.str();
    entry.service = spec.service.str();
    entry.zone = spec.zone.str();
    entry.address = spec.address.str();
    entry.slots = spec.slots;
    entry.connections = spec.connections;
    entry.connect_cost_ms = static_cast<std::uint64_t>(spec.connect_cost.count());
    entry.in_service = spec.in_service;
    return entry;
}

wire::vm_entry_message pack(const base::vm_id& id, const vm_spec& spec)
{
    wire::vm_entry_message entry;
    entry.id = id.str();
    entry.zone = spec.zone.str();
    entry.peer_address = spec.peer_address.str();
    entry.in_service = spec.in_service;
    return entry;
}

wire::assignment_entry_message pack(const base::target_id& id, const assignment& value)
{
    wire::assignment_entry_message entry;
    entry.target = id.str();
    entry.owner = value.owner.str();
    entry.fence = value.number.value();
    entry.phase = static_cast<wire::assignment_phase>(value.phase);
    entry.warm = value.warm;
    entry.pace_milli_per_s = value.pace_milli_per_s;
    return entry;
}

template <class Id>
std::vector<std::string> texts_of(const std::vector<Id>& ids)
{
    std::vector<std::string> texts;
    texts.reserve(ids.size());
    for (const Id& id : ids) {
        texts.push_back(id.str());
    }
    return texts;
}

template <class Id>
std::vector<Id> ids_of(const std::vector<std::string>& texts)
{
    return std::vector<Id>(texts.begin(), texts.end());
}

// Turns the entries of a message into a configuration and collects what can't be read.
class reader
{
public:
    configuration read(const wire::configuration_message& message)
    {
        result_.number = base::revision(message.revision);
        for (const auto& entry : message.zones) {
            check_id("zone", entry->id);
            result_.zones[base::zone_id(entry->id)] = zone_spec{entry->in_service};
        }
        for (const auto& entry : message.services) {
            read_service(*entry);
        }
        for (const auto& entry : message.targets) {
            read_target(*entry);
        }
        for (const auto& entry : message.vms) {
            check_id("vm", entry->id);
            result_.vms[base::vm_id(entry->id)] = vm_spec{
                base::zone_id(entry->zone),
                address("vm " + entry->id, entry->peer_address), entry->in_service};
        }
        for (const auto& entry : message.assignments) {
            check_id("assignment", entry->target);
            check_enumerator("assignment " + entry->target + " phase", entry->phase);
            result_.assignments[base::target_id(entry->target)] =
                assignment{base::vm_id(entry->owner), base::fence(entry->fence),
                           static_cast<assignment_phase>(entry->phase), entry->warm,
                           entry->pace_milli_per_s};
        }
        found_.throw_if_any();
        return std::move(result_);
    }

private:
    void check_id(const std::string& kind, const std::string& id)
    {
        if (id.empty()) {
            found_.add(kind, "identifier is empty");
        }
    }

    // A length of time that can be added to any time of a clock.
    base::duration milliseconds(const std::string& place, std::uint64_t count)
    {
        constexpr std::uint64_t longest_ms = 24ULL * 60 * 60 * 1000;
        if (count > longest_ms) {
            found_.add(place, std::to_string(count) + " ms is longer than a day");
            return {};
        }
        return base::duration(static_cast<std::int64_t>(count));
    }

    template <class Enumeration>
    void check_enumerator(const std::string& place, Enumeration value)
    {
        if (value > Enumeration::MAX) {
            found_.add(place, std::to_string(static_cast<unsigned>(value)) +
                                  " has no meaning here");
        }
    }

    base::endpoint address(const std::string& place, const std::string& text)
    {
        const std::optional<base::endpoint> parsed = base::endpoint::parse(text);
        if (!parsed) {
            found_.add(place, "'" + text + "' is not an IPv4 address and port");
            return {};
        }
        return *parsed;
    }

    void read_service(const wire::service_entry_message& entry)
    {
        check_id("service", entry.id);
        service_spec spec;
        spec.kind = static_cast<service_kind>(entry.kind);
        spec.demand_complete = entry.demand_complete;
        const std::string place = "service " + entry.id;
        check_enumerator(place + " kind", entry.kind);
        spec.default_deadline =
            milliseconds(place + " default_deadline_ms", entry.default_deadline_ms);
        spec.max_deadline =
            milliseconds(place + " max_deadline_ms", entry.max_deadline_ms);
        spec.max_body_bytes = entry.max_body_bytes;
        result_.services[base::service_id(entry.id)] = spec;
    }

    void read_target(const wire::target_entry_message& entry)
    {
        check_id("target", entry.id);
        target_spec spec;
        spec.service = base::service_id(entry.service);
        spec.zone = base::zone_id(entry.zone);
        spec.address = address("target " + entry.id, entry.address);
        spec.slots = entry.slots;
        spec.connections = entry.connections;
        spec.connect_cost = milliseconds("target " + entry.id + " connect_cost_ms",
                                         entry.connect_cost_ms);
        spec.in_service = entry.in_service;
        result_.targets[base::target_id(entry.id)] = spec;
    }

    configuration result_;
    base::findings found_;
};

} // namespace

wire::configuration_message to_message(const configuration& value)
{
    wire::configuration_message message;
    message.revision = value.number.value();
    for (const auto& [id, spec] : value.zones) {
        append(message.zones, pack(id, spec));
    }
    for (const auto& [id, spec] : value.services) {
        append(message.services, pack(id, spec));
    }
    for (const auto& [id, spec] : value.targets) {
        append(message.targets, pack(id, spec));
    }
    for (const auto& [id, spec] : value.vms) {
        append(message.vms, pack(id, spec));
    }
    for (const auto& [id, one] : value.assignments) {
        append(message.assignments, pack(id, one));
    }
    return message;
}

configuration from_message(const wire::configuration_message& message)
{
    return reader().read(message);
}

wire::configuration_delta_message to_message(const configuration_delta& delta)
{
    wire::configuration_delta_message message;
    message.base = delta.base.value();
    message.changed =
        std::make_unique<wire::configuration_message>(to_message(delta.changed));
    message.removed_zones = texts_of(delta.removed_zones);
    message.removed_services = texts_of(delta.removed_services);
    message.removed_targets = texts_of(delta.removed_targets);
    message.removed_vms = texts_of(delta.removed_vms);
    message.removed_assignments = texts_of(delta.removed_assignments);
    return message;
}

configuration_delta from_message(const wire::configuration_delta_message& message)
{
    if (!message.changed) {
        base::findings found;
        found.add("delta", "changed entries are missing");
        found.throw_if_any();
    }
    configuration_delta delta;
    delta.base = base::revision(message.base);
    delta.changed = from_message(*message.changed);
    delta.removed_zones = ids_of<base::zone_id>(message.removed_zones);
    delta.removed_services = ids_of<base::service_id>(message.removed_services);
    delta.removed_targets = ids_of<base::target_id>(message.removed_targets);
    delta.removed_vms = ids_of<base::vm_id>(message.removed_vms);
    delta.removed_assignments = ids_of<base::target_id>(message.removed_assignments);
    return delta;
}

} // namespace curranthoist::control
