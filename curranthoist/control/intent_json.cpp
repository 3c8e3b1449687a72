#include "curranthoist/control/intent_json.hpp"

#include "curranthoist/control/json_fields.hpp"

#include <memory>
#include <optional>

namespace curranthoist::control {

namespace {

std::optional<intent_kind> kind_named(const std::string& name)
{
    for (const intent_kind kind : encoded::EnumValuesintent_kind()) {
        if (intent_name(kind) == name) {
            return kind;
        }
    }
    return std::nullopt;
}

void read_targets(json_fields& fields, intent& wanted, base::findings& found)
{
    const nlohmann::json* list = fields.find("targets");
    if (list == nullptr) {
        return;
    }
    if (!list->is_array()) {
        fields.add("targets", "is not a list");
        return;
    }
    for (std::size_t i = 0; i < list->size(); ++i) {
        const std::string place = fields.place() + ".targets[" + std::to_string(i) + "]";
        json_fields one((*list)[i], place, found);
        auto target = std::make_unique<encoded::declared_target_message>();
        target->id = one.required_text("target");
        target->zone = one.required_text("zone");
        target->address = one.required_text("address");
        one.number("slots", target->slots);
        one.number("connections", target->connections);
        one.number("connect_cost_ms", target->connect_cost_ms);
        one.finish();
        wanted.targets.push_back(std::move(target));
    }
}

void read_service_fields(json_fields& fields, intent& wanted)
{
    fields.boolean("demand_complete",
                   [&wanted](bool value) { wanted.demand_complete = value; });
    fields.number_for<std::uint64_t>(
        "default_deadline_ms",
        [&wanted](std::uint64_t value) { wanted.default_deadline_ms = value; });
    fields.number_for<std::uint64_t>("max_deadline_ms", [&wanted](std::uint64_t value) {
        wanted.max_deadline_ms = value;
    });
    fields.number_for<std::uint64_t>("max_body_bytes", [&wanted](std::uint64_t value) {
        wanted.max_body_bytes = value;
    });
}

void read_service_kind(json_fields& fields, intent& wanted)
{
    const std::string kind = fields.required_text("service_kind");
    if (!kind.empty() && kind != "query" && kind != "order") {
        fields.add("service_kind", "is neither 'query' nor 'order'");
    }
    wanted.order = kind == "order";
}

void read_target_limits(json_fields& fields, intent& wanted)
{
    fields.number_for<std::uint32_t>(
        "slots", [&wanted](std::uint32_t value) { wanted.slots = value; });
    fields.number_for<std::uint32_t>(
        "connections", [&wanted](std::uint32_t value) { wanted.connections = value; });
}

void read_kind_fields(json_fields& fields, intent& wanted, base::findings& found)
{
    switch (wanted.kind) {
    case intent_kind::create_service:
        read_service_kind(fields, wanted);
        read_service_fields(fields, wanted);
        read_targets(fields, wanted, found);
        break;
    case intent_kind::add_targets:
        read_targets(fields, wanted, found);
        break;
    case intent_kind::set_limit:
        read_service_fields(fields, wanted);
        read_target_limits(fields, wanted);
        break;
    case intent_kind::add_vm:
        wanted.zone = fields.required_text("zone");
        wanted.address = fields.required_text("peer_address");
        break;
    case intent_kind::replace_member:
        wanted.new_member = fields.required_text("new_member");
        wanted.address = fields.required_text("peer_address");
        break;
    default:
        break;
    }
}

} // namespace

intent read_intent(const nlohmann::json& value, const std::string& place,
                   base::findings& found)
{
    json_fields fields(value, place, found);
    intent wanted;
    const std::string name = fields.required_text("kind");
    const std::optional<intent_kind> kind = kind_named(name);
    if (!kind) {
        if (!name.empty()) {
            fields.add("kind", "unknown kind '" + name + "'");
        }
        return wanted;
    }
    wanted.kind = *kind;
    wanted.subject = fields.required_text(subject_field(*kind));
    read_kind_fields(fields, wanted, found);
    fields.finish();
    return wanted;
}

} // namespace curranthoist::control
