#pragma once

#include "curranthoist/base/findings.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <set>
#include <string>

namespace curranthoist::control {

// Reads the fields of one JSON object and collects what is wrong with them:
//
//     json_fields fields(body, "body", found);
//     const std::string name = fields.required_text("operator");
//     fields.finish();
class json_fields
{
public:
    // The references must outlive the reader.
    json_fields(const nlohmann::json& object, std::string place, base::findings& found);

    // The text of a field; empty, with a finding, if it is missing or of another type.
    std::string required_text(const std::string& name);
    // The same without a finding if the field is missing.
    std::string optional_text(const std::string& name);
    // Sets `field` to an integer in the range of its type, if the field is there.
    template <class Field>
    void number(const std::string& name, Field& field)
    {
        number_up_to(
            name, std::numeric_limits<Field>::max(),
            [&field](std::uint64_t value) { field = static_cast<Field>(value); });
    }
    template <class Field, class Set>
    void number_for(const std::string& name, Set set)
    {
        number_up_to(name, std::numeric_limits<Field>::max(),
                     [&set](std::uint64_t value) { set(static_cast<Field>(value)); });
    }
    std::uint64_t required_number(const std::string& name);
    // Calls set(value) if the field is there and a boolean.
    template <class Set>
    void boolean(const std::string& name, Set set)
    {
        const nlohmann::json* value = find(name);
        if (value != nullptr && value->is_boolean()) {
            set(value->get<bool>());
        }
        else if (value != nullptr) {
            add(name, "is not true or false");
        }
    }
    // The field, or nullptr with a finding if it is missing.
    const nlohmann::json* required(const std::string& name);
    // The field, or nullptr.
    const nlohmann::json* find(const std::string& name);
    // Reports the fields that were not read.
    void finish();
    void add(const std::string& name, const std::string& text);
    [[nodiscard]] const std::string& place() const { return place_; }

private:
    template <class Set>
    void number_up_to(const std::string& name, std::uint64_t highest, Set set)
    {
        const nlohmann::json* value = find(name);
        if (value == nullptr) {
            return;
        }
        const bool natural =
            value->is_number_unsigned() ||
            (value->is_number_integer() && value->get<std::int64_t>() >= 0);
        if (!natural || value->get<std::uint64_t>() > highest) {
            add(name, "is not an integer from 0 to " + std::to_string(highest));
            return;
        }
        set(value->get<std::uint64_t>());
    }

    const nlohmann::json& object_;
    std::string place_;
    base::findings& found_;
    std::set<std::string> read_;
};

} // namespace curranthoist::control
