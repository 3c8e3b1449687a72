#include "curranthoist/settings/internal/parse_toml.hpp"

#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/settings/internal/report.hpp"

#include <toml++/toml.h>

#include <fstream>
#include <iterator>
#include <utility>

namespace curranthoist::settings::internal {

namespace {

toml_value convert(const toml::node& node);

toml_value::array convert_array(const toml::array& array)
{
    toml_value::array result;
    for (const toml::node& one : array) {
        result.push_back(convert(one));
    }
    return result;
}

toml_value::table convert_table(const toml::table& table)
{
    toml_value::table result;
    for (const auto& [key, value] : table) {
        const toml::source_position place = key.source().begin;
        result[std::string(key.str())] =
            toml_entry{place.line, place.column, convert(value)};
    }
    return result;
}

toml_value convert(const toml::node& node)
{
    toml_value result;
    const toml::source_position place = node.source().begin;
    result.line = place.line > 0 ? place.line : 1;
    result.column = place.column > 0 ? place.column : 1;
    if (const auto* boolean = node.as_boolean()) {
        result.data = boolean->get();
    }
    else if (const auto* integer = node.as_integer()) {
        result.data = integer->get();
    }
    else if (const auto* real = node.as_floating_point()) {
        result.data = real->get();
    }
    else if (const auto* text = node.as_string()) {
        result.data = text->get();
    }
    else if (const auto* array = node.as_array()) {
        result.data = convert_array(*array);
    }
    else if (const auto* table = node.as_table()) {
        result.data = convert_table(*table);
    }
    return result;
}

} // namespace

toml_value parse_toml(std::string_view text, const std::string& file)
{
    try {
        return convert(toml::parse(text));
    }
    catch (const toml::parse_error& error) {
        const toml::source_position place = error.source().begin;
        report found(file);
        found.add(place.line, place.column, std::string(error.description()));
        found.throw_if_any();
        throw;
    }
}

std::string read_file(const std::string& file)
{
    std::ifstream input(file, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(input), {}};
    if (!input.good() && !input.eof()) {
        base::findings found;
        found.add(file, "cannot be read");
        found.throw_if_any();
    }
    return text;
}

} // namespace curranthoist::settings::internal
