#include "curranthoist/control/internal/intent_checker.hpp"

#include "curranthoist/control/intent_rules.hpp"

#include <algorithm>

namespace curranthoist::control::internal {

namespace {

using limits = intent_limits;

bool is_name_character(char one)
{
    return (one >= 'a' && one <= 'z') || (one >= 'A' && one <= 'Z') ||
           (one >= '0' && one <= '9') || one == '-' || one == '_' || one == '.';
}

// VMs that can own targets, without those of zone `without`.
std::size_t usable_vms(const configuration& current, const base::zone_id& without)
{
    return static_cast<std::size_t>(
        std::count_if(current.vms.begin(), current.vms.end(), [&](const auto& entry) {
            const auto zone = current.zones.find(entry.second.zone);
            return entry.second.in_service && zone != current.zones.end() &&
                   zone->second.in_service && entry.second.zone != without;
        }));
}

std::size_t zones_in_service(const configuration& current)
{
    return static_cast<std::size_t>(
        std::count_if(current.zones.begin(), current.zones.end(),
                      [](const auto& entry) { return entry.second.in_service; }));
}

} // namespace

intent_checker::intent_checker(const configuration& current, const intent& wanted)
    : current_(current)
    , wanted_(wanted)
    , subject_("intent." + subject_field(wanted.kind))
{}

base::findings intent_checker::check()
{
    check_name(subject_, wanted_.subject);
    switch (wanted_.kind) {
    case intent_kind::create_service:
        check_create_service();
        break;
    case intent_kind::add_targets:
        check_service_is_known();
        if (wanted_.targets.empty()) {
            found_.add("intent.targets", "no target is named");
        }
        check_targets();
        break;
    case intent_kind::set_limit:
        check_set_limit();
        break;
    case intent_kind::zone_out:
    case intent_kind::zone_in:
        check_zone();
        break;
    case intent_kind::target_out:
    case intent_kind::target_in:
        check_target();
        break;
    case intent_kind::add_vm:
        check_add_vm();
        break;
    case intent_kind::retire_vm:
        check_retire_vm();
        break;
    case intent_kind::add_zone:
        if (current_.zones.contains(base::zone_id(wanted_.subject))) {
            found_.add(subject_, "duplicate zone '" + wanted_.subject + "'");
        }
        break;
    case intent_kind::replace_member:
        check_replace_member();
        break;
    default:
        found_.add("intent.kind", "unknown kind");
    }
    return found_;
}

void intent_checker::check_name(const std::string& place, const std::string& name)
{
    if (name.empty()) {
        found_.add(place, "name is empty");
    }
    else if (name.size() > limits::max_name_bytes) {
        found_.add(place, "name is longer than " +
                              std::to_string(limits::max_name_bytes) + " bytes");
    }
    else if (!std::all_of(name.begin(), name.end(), is_name_character)) {
        found_.add(place,
                   "name has a character other than letters, digits, '-', '_', '.'");
    }
}

void intent_checker::check_range(const std::string& place, std::uint64_t value,
                                 std::uint64_t low, std::uint64_t high)
{
    if (value < low || value > high) {
        found_.add(place, std::to_string(value) + " is not in " + std::to_string(low) +
                              " to " + std::to_string(high));
    }
}

void intent_checker::check_address(const std::string& place, const std::string& text)
{
    if (!base::endpoint::parse(text)) {
        found_.add(place, "'" + text + "' is not an IPv4 address and port");
    }
}

void intent_checker::check_service_is_known()
{
    if (!current_.services.contains(base::service_id(wanted_.subject))) {
        found_.add(subject_, "unknown service '" + wanted_.subject + "'");
    }
}

void intent_checker::check_service_fields(const service_spec& before)
{
    const std::uint64_t longest = wanted_.max_deadline_ms.value_or(
        static_cast<std::uint64_t>(before.max_deadline.count()));
    const std::uint64_t usual = wanted_.default_deadline_ms.value_or(
        static_cast<std::uint64_t>(before.default_deadline.count()));
    check_range("intent.max_deadline_ms", longest, 1, limits::max_deadline_ms);
    check_range("intent.default_deadline_ms", usual, 1, longest);
    if (wanted_.max_body_bytes) {
        check_range("intent.max_body_bytes", *wanted_.max_body_bytes, 1,
                    limits::max_body_bytes);
    }
}

void intent_checker::check_target_fields()
{
    if (wanted_.slots) {
        check_range("intent.slots", *wanted_.slots, 1, limits::max_slots);
    }
    if (wanted_.connections) {
        check_range("intent.connections", *wanted_.connections, limits::min_connections,
                    limits::max_connections);
    }
}

void intent_checker::check_targets()
{
    std::set<std::string> names;
    if (current_.targets.size() + wanted_.targets.size() > limits::max_targets) {
        found_.add("intent.targets", "there would be more than " +
                                         std::to_string(limits::max_targets) +
                                         " targets");
    }
    for (std::size_t i = 0; i < wanted_.targets.size(); ++i) {
        const encoded::declared_target_message& one = *wanted_.targets[i];
        const std::string place = "intent.targets[" + std::to_string(i) + "]";
        check_name(place + ".target", one.id);
        if (!names.insert(one.id).second ||
            current_.targets.contains(base::target_id(one.id))) {
            found_.add(place + ".target", "duplicate target '" + one.id + "'");
        }
        if (!current_.zones.contains(base::zone_id(one.zone))) {
            found_.add(place + ".zone", "unknown zone '" + one.zone + "'");
        }
        check_address(place + ".address", one.address);
        check_range(place + ".slots", one.slots, 1, limits::max_slots);
        check_range(place + ".connections", one.connections, limits::min_connections,
                    limits::max_connections);
        check_range(place + ".connect_cost_ms", one.connect_cost_ms, 0,
                    limits::max_deadline_ms);
    }
    check_new_targets_share_no_address();
}

void intent_checker::check_new_targets_share_no_address()
{
    std::set<std::string> used;
    for (const auto& [id, spec] : current_.targets) {
        used.insert(spec.address.str());
    }
    for (std::size_t i = 0; i < wanted_.targets.size(); ++i) {
        const std::string& address = wanted_.targets[i]->address;
        if (!used.insert(address).second) {
            found_.add("intent.targets[" + std::to_string(i) + "].address",
                       "address " + address + " belongs to another target");
        }
    }
}

void intent_checker::check_create_service()
{
    if (current_.services.contains(base::service_id(wanted_.subject))) {
        found_.add(subject_, "duplicate service '" + wanted_.subject + "'");
    }
    check_service_fields(service_spec{});
    check_targets();
}

void intent_checker::check_set_limit()
{
    const auto service = current_.services.find(base::service_id(wanted_.subject));
    if (service == current_.services.end()) {
        check_service_is_known();
        return;
    }
    check_service_fields(service->second);
    check_target_fields();
    const bool any = wanted_.slots || wanted_.connections || wanted_.demand_complete ||
                     wanted_.default_deadline_ms || wanted_.max_deadline_ms ||
                     wanted_.max_body_bytes;
    if (!any) {
        found_.add("intent", "no limit is named");
    }
}

void intent_checker::check_zone()
{
    const base::zone_id zone(wanted_.subject);
    const auto found = current_.zones.find(zone);
    if (found == current_.zones.end()) {
        found_.add(subject_, "unknown zone '" + wanted_.subject + "'");
        return;
    }
    const bool out = wanted_.kind == intent_kind::zone_out;
    if (found->second.in_service != out) {
        found_.add(subject_,
                   "zone '" + wanted_.subject +
                       (out ? "' is already out of service" : "' is already in service"));
        return;
    }
    if (out && zones_in_service(current_) == 1) {
        found_.add(subject_,
                   "zone '" + wanted_.subject + "' is the last zone in service");
    }
    else if (out && usable_vms(current_, {}) > 0 && usable_vms(current_, zone) == 0) {
        found_.add(subject_,
                   "no VM in service is outside zone '" + wanted_.subject + "'");
    }
}

void intent_checker::check_target()
{
    const auto found = current_.targets.find(base::target_id(wanted_.subject));
    if (found == current_.targets.end()) {
        found_.add(subject_, "unknown target '" + wanted_.subject + "'");
        return;
    }
    const bool out = wanted_.kind == intent_kind::target_out;
    if (found->second.in_service != out) {
        found_.add(subject_,
                   "target '" + wanted_.subject +
                       (out ? "' is already out of service" : "' is already in service"));
    }
}

void intent_checker::check_add_vm()
{
    const auto found = current_.vms.find(base::vm_id(wanted_.subject));
    if (found != current_.vms.end()) {
        found_.add(subject_,
                   found->second.in_service
                       ? "duplicate VM '" + wanted_.subject + "'"
                       : "VM '" + wanted_.subject + "' is still leaving; add it later");
    }
    if (current_.vms.size() >= limits::max_vms) {
        found_.add(subject_, "there would be more than " +
                                 std::to_string(limits::max_vms) + " VMs");
    }
    if (!current_.zones.contains(base::zone_id(wanted_.zone))) {
        found_.add("intent.zone", "unknown zone '" + wanted_.zone + "'");
    }
    check_address("intent.peer_address", wanted_.address);
    for (const auto& [id, spec] : current_.vms) {
        if (spec.peer_address.str() == wanted_.address) {
            found_.add("intent.peer_address", "address " + wanted_.address +
                                                  " belongs to VM '" + id.str() + "'");
        }
    }
}

void intent_checker::check_retire_vm()
{
    const auto found = current_.vms.find(base::vm_id(wanted_.subject));
    if (found == current_.vms.end()) {
        found_.add(subject_, "unknown VM '" + wanted_.subject + "'");
        return;
    }
    if (!found->second.in_service) {
        found_.add(subject_, "VM '" + wanted_.subject + "' is already leaving");
        return;
    }
    configuration left = current_;
    left.vms.erase(found->first);
    if (usable_vms(left, {}) == 0) {
        found_.add(subject_, "VM '" + wanted_.subject + "' is the last VM in service");
    }
}

void intent_checker::check_replace_member()
{
    check_name("intent.new_member", wanted_.new_member);
    check_address("intent.peer_address", wanted_.address);
    if (wanted_.new_member == wanted_.subject) {
        found_.add("intent.new_member", "a member can't be replaced by itself");
    }
}

} // namespace curranthoist::control::internal
