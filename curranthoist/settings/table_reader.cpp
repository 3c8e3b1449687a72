#include "curranthoist/settings/internal/table_reader.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace curranthoist::settings::internal {

namespace {

const toml_value& empty_table()
{
    static const toml_value empty{1, 1, toml_value::table{}};
    return empty;
}

std::size_t edit_distance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < b.size(); ++j) {
            const std::size_t substituted = diagonal + (a[i] == b[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({substituted, row[j] + 1, row[j + 1] + 1});
        }
    }
    return row[b.size()];
}

} // namespace

table_reader::table_reader(const toml_value& table, std::string name, report& mistakes)
    : table_(&table)
    , name_(std::move(name))
    , mistakes_(&mistakes)
{}

std::string table_reader::qualified(std::string_view key) const
{
    const std::string plain(key);
    return "'" + (name_.empty() ? plain : name_ + "." + plain) + "'";
}

void table_reader::add(const toml_value& value, std::string text)
{
    mistakes_->add(value.line, value.column, std::move(text));
}

const toml_value* table_reader::find(std::string_view key)
{
    known_.emplace(key);
    const auto& entries = std::get<toml_value::table>(table_->data);
    const auto found = entries.find(std::string(key));
    return found == entries.end() ? nullptr : &found->second.value;
}

const toml_value* table_reader::require(std::string_view key)
{
    const toml_value* value = find(key);
    if (value == nullptr) {
        add(*table_, "missing key " + qualified(key));
    }
    return value;
}

template <class Type>
const Type* table_reader::typed(const toml_value& value, std::string_view key,
                                std::string_view expected)
{
    const Type* result = std::get_if<Type>(&value.data);
    if (result == nullptr) {
        add(value, qualified(key) + " must be " + std::string(expected));
    }
    return result;
}

std::string table_reader::required_text(std::string_view key)
{
    const toml_value* value = require(key);
    if (value == nullptr) {
        return {};
    }
    const auto* text = typed<std::string>(*value, key, "a text");
    if (text == nullptr) {
        return {};
    }
    if (text->empty()) {
        add(*value, qualified(key) + " must not be empty");
    }
    return *text;
}

base::endpoint table_reader::endpoint_in(const toml_value& value, std::string_view key)
{
    const auto* text =
        typed<std::string>(value, key, "a text of the form \"address:port\"");
    if (text == nullptr) {
        return {};
    }
    const std::optional<base::endpoint> parsed = base::endpoint::parse(*text);
    if (!parsed) {
        add(value, qualified(key) + " must be an IPv4 address and a port, not \"" +
                       *text + "\"");
        return {};
    }
    return *parsed;
}

base::endpoint table_reader::required_endpoint(std::string_view key)
{
    const toml_value* value = require(key);
    return value == nullptr ? base::endpoint{} : endpoint_in(*value, key);
}

std::vector<base::endpoint> table_reader::required_endpoints(std::string_view key)
{
    std::vector<base::endpoint> result;
    const toml_value* value = require(key);
    if (value == nullptr) {
        return result;
    }
    const auto* list = typed<toml_value::array>(*value, key, "a list of addresses");
    if (list == nullptr) {
        return result;
    }
    for (const toml_value& one : *list) {
        result.push_back(endpoint_in(one, key));
    }
    if (result.empty()) {
        add(*value, qualified(key) + " must name at least one address");
    }
    return result;
}

std::int64_t table_reader::number(std::string_view key, std::int64_t fallback,
                                  std::int64_t low, std::int64_t high)
{
    const toml_value* value = find(key);
    if (value == nullptr) {
        return fallback;
    }
    const auto* whole = typed<std::int64_t>(*value, key, "a whole number");
    if (whole == nullptr) {
        return fallback;
    }
    if (*whole < low || *whole > high) {
        add(*value, qualified(key) + " must be from " + std::to_string(low) + " to " +
                        std::to_string(high));
        return fallback;
    }
    return *whole;
}

bool table_reader::flag(std::string_view key, bool fallback)
{
    const toml_value* value = find(key);
    if (value == nullptr) {
        return fallback;
    }
    const bool* set = typed<bool>(*value, key, "true or false");
    return set == nullptr ? fallback : *set;
}

std::size_t table_reader::one_of(std::string_view key,
                                 std::span<const std::string_view> names,
                                 std::size_t fallback)
{
    const toml_value* value = find(key);
    if (value == nullptr) {
        return fallback;
    }
    const auto* text = typed<std::string>(*value, key, "a text");
    if (text == nullptr) {
        return fallback;
    }
    const auto found = std::find(names.begin(), names.end(), *text);
    if (found == names.end()) {
        std::string choices;
        for (const std::string_view one : names) {
            choices += (choices.empty() ? "\"" : ", \"") + std::string(one) + "\"";
        }
        add(*value, qualified(key) + " must be one of " + choices);
        return fallback;
    }
    return static_cast<std::size_t>(found - names.begin());
}

table_reader table_reader::table(std::string_view key)
{
    const toml_value* value = find(key);
    if (value == nullptr || typed<toml_value::table>(*value, key, "a table") == nullptr) {
        return {empty_table(), std::string(key), *mistakes_};
    }
    return {*value, std::string(key), *mistakes_};
}

std::vector<table_reader> table_reader::required_tables(std::string_view key)
{
    std::vector<table_reader> result;
    const toml_value* value = require(key);
    if (value == nullptr) {
        return result;
    }
    const auto* list = typed<toml_value::array>(*value, key, "a list of tables");
    if (list == nullptr) {
        return result;
    }
    for (const toml_value& one : *list) {
        if (typed<toml_value::table>(one, key, "a list of tables") != nullptr) {
            result.emplace_back(one, std::string(key), *mistakes_);
        }
    }
    return result;
}

void table_reader::reject(std::string_view key, std::string text)
{
    const toml_value* value = find(key);
    add(value == nullptr ? *table_ : *value, std::move(text));
}

std::string table_reader::suggestion(std::string_view key) const
{
    constexpr std::size_t max_typing_errors = 2;
    std::size_t best = max_typing_errors + 1;
    std::string nearest;
    for (const std::string& one : known_) {
        const std::size_t distance = edit_distance(key, one);
        if (distance < best) {
            best = distance;
            nearest = one;
        }
    }
    return nearest.empty() ? "" : "; did you mean '" + nearest + "'?";
}

void table_reader::finish()
{
    for (const auto& [key, entry] : std::get<toml_value::table>(table_->data)) {
        if (!known_.contains(key)) {
            mistakes_->add(entry.line, entry.column,
                           "unknown key " + qualified(key) + suggestion(key));
        }
    }
}

} // namespace curranthoist::settings::internal
