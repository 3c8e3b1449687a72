#include "curranthoist/control/configuration_delta.hpp"

#include <map>

namespace curranthoist::control {

namespace {

// Both maps are sorted, so one pass over the two finds all differences.
template <class Id, class Value>
void compare(const std::map<Id, Value>& before, const std::map<Id, Value>& after,
             std::map<Id, Value>& changed, std::vector<Id>& removed)
{
    auto old = before.begin();
    for (const auto& entry : after) {
        while (old != before.end() && old->first < entry.first) {
            removed.push_back(old->first);
            ++old;
        }
        const bool known = old != before.end() && old->first == entry.first;
        if (!known || old->second != entry.second) {
            changed.insert(changed.end(), entry);
        }
        if (known) {
            ++old;
        }
    }
    for (; old != before.end(); ++old) {
        removed.push_back(old->first);
    }
}

template <class Id, class Value>
void merge(std::map<Id, Value>& value, const std::map<Id, Value>& changed,
           const std::vector<Id>& removed)
{
    for (const auto& [id, one] : changed) {
        value.insert_or_assign(id, one);
    }
    for (const Id& id : removed) {
        value.erase(id);
    }
}

} // namespace

configuration_delta diff(const configuration& before, const configuration& after)
{
    configuration_delta delta;
    delta.base = before.number;
    delta.changed.number = after.number;
    compare(before.zones, after.zones, delta.changed.zones, delta.removed_zones);
    compare(before.services, after.services, delta.changed.services,
            delta.removed_services);
    compare(before.targets, after.targets, delta.changed.targets, delta.removed_targets);
    compare(before.vms, after.vms, delta.changed.vms, delta.removed_vms);
    compare(before.assignments, after.assignments, delta.changed.assignments,
            delta.removed_assignments);
    return delta;
}

bool apply(configuration& value, const configuration_delta& delta)
{
    if (value.number != delta.base || delta.changed.number <= delta.base) {
        return false;
    }
    value.number = delta.changed.number;
    merge(value.zones, delta.changed.zones, delta.removed_zones);
    merge(value.services, delta.changed.services, delta.removed_services);
    merge(value.targets, delta.changed.targets, delta.removed_targets);
    merge(value.vms, delta.changed.vms, delta.removed_vms);
    merge(value.assignments, delta.changed.assignments, delta.removed_assignments);
    return true;
}

} // namespace curranthoist::control
