#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/settings/internal/report.hpp"
#include "curranthoist/settings/internal/toml_value.hpp"

#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace curranthoist::settings::internal {

// Reads one TOML table key by key. A mistake is added to the report and a default is
// returned, so that reading goes on to the next key. finish() reports the keys that
// nothing has asked for.
class table_reader
{
public:
    // `name` is the table's name in messages, empty for the root.
    table_reader(const toml_value& table, std::string name, report& mistakes);

    // A text that must be present and not empty.
    std::string required_text(std::string_view key);
    // An endpoint that must be present.
    base::endpoint required_endpoint(std::string_view key);
    // A list of at least one endpoint.
    std::vector<base::endpoint> required_endpoints(std::string_view key);
    // A whole number from `low` to `high`.
    std::int64_t number(std::string_view key, std::int64_t fallback, std::int64_t low,
                        std::int64_t high);
    bool flag(std::string_view key, bool fallback);
    // The index of the value in `names`.
    std::size_t one_of(std::string_view key, std::span<const std::string_view> names,
                       std::size_t fallback);
    // A sub-table; an absent one reads as empty, so its required keys are reported.
    table_reader table(std::string_view key);
    // The tables of a list; none if it is absent, which is a mistake.
    std::vector<table_reader> required_tables(std::string_view key);

    // Adds a mistake at the value of `key`, or at the table if the key is absent.
    void reject(std::string_view key, std::string text);
    // Adds a mistake for each key that was not read.
    void finish();

private:
    const toml_value* find(std::string_view key);
    const toml_value* require(std::string_view key);
    base::endpoint endpoint_in(const toml_value& value, std::string_view key);
    template <class Type>
    const Type* typed(const toml_value& value, std::string_view key,
                      std::string_view expected);
    [[nodiscard]] std::string qualified(std::string_view key) const;
    [[nodiscard]] std::string suggestion(std::string_view key) const;
    void add(const toml_value& value, std::string text);

    const toml_value* table_;
    std::string name_;
    report* mistakes_;
    std::set<std::string, std::less<>> known_;
};

} // namespace curranthoist::settings::internal
