#include "curranthoist/ctl/intent_source.hpp"

#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/base/parse_json.hpp"
#include "curranthoist/base/wall_clock.hpp"

#include <fstream>
#include <random>
#include <sstream>

namespace curranthoist::ctl {

using nlohmann::json;

namespace {

[[noreturn]] void refuse(const std::string& place, const std::string& text)
{
    base::findings found;
    found.add(place, text);
    throw base::findings_error(found);
}

json parse(const std::string& place, const std::string& text)
{
    json value = base::parse_json(text);
    if (value.is_discarded()) {
        refuse(place, "is not JSON, or is nested too deeply");
    }
    return value;
}

std::vector<json> read_file(const std::string& name)
{
    std::ifstream file(name);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        refuse(name, "can't be read");
    }
    const json value = parse(name, text.str());
    if (!value.is_array()) {
        return {value};
    }
    return {value.begin(), value.end()};
}

// Numbers and booleans keep their JSON type; everything else is text.
json value_of(const std::string& text)
{
    json value = base::parse_json(text);
    const bool typed = value.is_number() || value.is_boolean();
    return typed ? value : json(text);
}

json from_words(const std::vector<std::string>& words)
{
    json result = {{"kind", words.front()}};
    base::findings found;
    for (std::size_t i = 1; i < words.size(); ++i) {
        const std::size_t equals = words[i].find('=');
        if (equals == std::string::npos || equals == 0) {
            found.add("'" + words[i] + "'", "is not of the form key=value");
            continue;
        }
        result[words[i].substr(0, equals)] = value_of(words[i].substr(equals + 1));
    }
    found.throw_if_any();
    return result;
}

} // namespace

std::vector<json> read_intents(const options& chosen)
{
    if (!chosen.file.empty() && !chosen.words.empty()) {
        refuse("command line", "--file and an intent exclude each other");
    }
    if (!chosen.file.empty()) {
        return read_file(chosen.file);
    }
    if (chosen.words.empty()) {
        refuse("command line", "no intent is named");
    }
    const std::string& first = chosen.words.front();
    const bool is_json = first.find('{') != std::string::npos;
    return {is_json ? parse("intent", first) : from_words(chosen.words)};
}

std::string new_intent_id()
{
    std::random_device random;
    std::ostringstream id;
    id << base::wall_clock().now().count() << '-' << std::hex << random() << random();
    return id.str();
}

} // namespace curranthoist::ctl
