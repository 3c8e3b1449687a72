#include "curranthoist/control/intent_rules.hpp"

#include "curranthoist/control/configuration.hpp"
#include "curranthoist/control/internal/intent_checker.hpp"

#include <utility>

namespace curranthoist::control {

namespace {

using changes = std::vector<std::string>;

base::duration milliseconds(std::uint64_t count)
{
    return base::duration(static_cast<std::int64_t>(count));
}

// Sets `field` to `wanted` if it is given and differs, and notes the change.
template <class Field, class Wanted, class Convert>
void set_field(Field& field, const flatbuffers::Optional<Wanted>& wanted,
               const std::string& name, changes& done, Convert convert)
{
    if (wanted && field != convert(*wanted)) {
        field = convert(*wanted);
        done.push_back("set " + name + " to " + std::to_string(*wanted));
    }
}

void set_service_fields(service_spec& spec, const intent& wanted, changes& done)
{
    const auto same = [](auto value) { return value; };
    const std::string of = " of service " + wanted.subject;
    set_field(spec.demand_complete, wanted.demand_complete, "demand_complete" + of, done,
              same);
    set_field(spec.default_deadline, wanted.default_deadline_ms,
              "default_deadline_ms" + of, done, milliseconds);
    set_field(spec.max_deadline, wanted.max_deadline_ms, "max_deadline_ms" + of, done,
              milliseconds);
    set_field(spec.max_body_bytes, wanted.max_body_bytes, "max_body_bytes" + of, done,
              same);
}

void add_targets(configuration& current, const intent& wanted, changes& done)
{
    for (const auto& declared : wanted.targets) {
        target_spec spec;
        spec.service = base::service_id(wanted.subject);
        spec.zone = base::zone_id(declared->zone);
        spec.address =
            base::endpoint::parse(declared->address).value_or(base::endpoint{});
        spec.slots = declared->slots;
        spec.connections = declared->connections;
        spec.connect_cost = milliseconds(declared->connect_cost_ms);
        current.targets[base::target_id(declared->id)] = spec;
        done.push_back("added target " + declared->id + " in zone " + declared->zone +
                       " to service " + wanted.subject);
    }
}

void create_service(configuration& current, const intent& wanted, changes& done)
{
    service_spec spec;
    spec.kind = wanted.order ? service_kind::order : service_kind::query;
    changes fields;
    set_service_fields(spec, wanted, fields);
    current.services[base::service_id(wanted.subject)] = spec;
    done.push_back("created service " + wanted.subject);
    add_targets(current, wanted, done);
}

void set_limit(configuration& current, const intent& wanted, changes& done)
{
    const base::service_id service(wanted.subject);
    set_service_fields(current.services[service], wanted, done);
    const auto same = [](auto value) { return value; };
    for (auto& [id, spec] : current.targets) {
        if (spec.service == service) {
            set_field(spec.slots, wanted.slots, "slots of target " + id.str(), done,
                      same);
            set_field(spec.connections, wanted.connections,
                      "connections of target " + id.str(), done, same);
        }
    }
}

void set_zone(configuration& current, const intent& wanted, bool in_service,
              changes& done)
{
    current.zones[base::zone_id(wanted.subject)].in_service = in_service;
    done.push_back("zone " + wanted.subject +
                   (in_service ? " is in service" : " is out of service"));
}

void set_target(configuration& current, const intent& wanted, bool in_service,
                changes& done)
{
    current.targets[base::target_id(wanted.subject)].in_service = in_service;
    done.push_back("target " + wanted.subject +
                   (in_service ? " is in service" : " is out of service"));
}

void add_vm(configuration& current, const intent& wanted, changes& done)
{
    current.vms[base::vm_id(wanted.subject)] =
        vm_spec{base::zone_id(wanted.zone),
                base::endpoint::parse(wanted.address).value_or(base::endpoint{}), true};
    done.push_back("added VM " + wanted.subject + " in zone " + wanted.zone);
}

void retire_vm(configuration& current, const intent& wanted, changes& done)
{
    current.vms[base::vm_id(wanted.subject)].in_service = false;
    done.push_back("VM " + wanted.subject + " is out of service and leaves");
}

} // namespace

base::findings check_intent(const configuration& current, const intent& wanted)
{
    return internal::intent_checker(current, wanted).check();
}

std::vector<std::string> apply_intent(configuration& current, const intent& wanted)
{
    changes done;
    switch (wanted.kind) {
    case intent_kind::create_service:
        create_service(current, wanted, done);
        break;
    case intent_kind::add_targets:
        add_targets(current, wanted, done);
        break;
    case intent_kind::set_limit:
        set_limit(current, wanted, done);
        break;
    case intent_kind::zone_out:
    case intent_kind::zone_in:
        set_zone(current, wanted, wanted.kind == intent_kind::zone_in, done);
        break;
    case intent_kind::target_out:
    case intent_kind::target_in:
        set_target(current, wanted, wanted.kind == intent_kind::target_in, done);
        break;
    case intent_kind::add_vm:
        add_vm(current, wanted, done);
        break;
    case intent_kind::retire_vm:
        retire_vm(current, wanted, done);
        break;
    case intent_kind::add_zone:
        current.zones[base::zone_id(wanted.subject)] = zone_spec{};
        done.push_back("added zone " + wanted.subject);
        break;
    case intent_kind::replace_member:
        done.push_back("member " + wanted.subject + " is to be replaced by " +
                       wanted.new_member);
        break;
    }
    return done;
}

} // namespace curranthoist::control
