#include "curranthoist/control/json_fields.hpp"

namespace curranthoist::control {

json_fields::json_fields(const nlohmann::json& object, std::string place,
                         base::findings& found)
    : object_(object)
    , place_(std::move(place))
    , found_(found)
{
    if (!object.is_object()) {
        found_.add(place_, "is not an object");
    }
}

const nlohmann::json* json_fields::find(const std::string& name)
{
    read_.insert(name);
    if (!object_.is_object()) {
        return nullptr;
    }
    const auto found = object_.find(name);
    return found == object_.end() ? nullptr : &*found;
}

const nlohmann::json* json_fields::required(const std::string& name)
{
    const nlohmann::json* value = find(name);
    if (value == nullptr && object_.is_object()) {
        add(name, "is missing");
    }
    return value;
}

std::string json_fields::required_text(const std::string& name)
{
    return required(name) == nullptr ? std::string() : optional_text(name);
}

std::string json_fields::optional_text(const std::string& name)
{
    const nlohmann::json* value = find(name);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
        add(name, "is not a text with at least one character");
        return {};
    }
    return value->get<std::string>();
}

std::uint64_t json_fields::required_number(const std::string& name)
{
    std::uint64_t result = 0;
    if (required(name) != nullptr) {
        number(name, result);
    }
    return result;
}

void json_fields::finish()
{
    if (!object_.is_object()) {
        return;
    }
    for (const auto& [name, value] : object_.items()) {
        if (!read_.contains(name)) {
            add(name, "unknown field");
        }
    }
}

void json_fields::add(const std::string& name, const std::string& text)
{
    found_.add(place_ + "." + name, text);
}

} // namespace curranthoist::control
