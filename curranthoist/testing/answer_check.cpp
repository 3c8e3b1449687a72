#include "curranthoist/testing/answer_check.hpp"

#include "curranthoist/http/status.hpp"

#include <nlohmann/json.hpp>

#include <set>

namespace curranthoist::testing {

namespace {

using nlohmann::json;

checked_answer wrong(std::string mistake)
{
    checked_answer result;
    result.mistake = std::move(mistake);
    return result;
}

// A target's body is passed on as JSON or as text with JSON in it.
json target_body(const json& holder)
{
    const json body = holder.value("body", json());
    return body.is_string() ? json::parse(body.get<std::string>()) : body;
}

// What contradicts the request in a target's body, or nothing.
std::string body_mistake(const sent_request& sent, const json& body)
{
    if (!body.is_object()) {
        return "a target's body is not a JSON object";
    }
    if (body.value("service", "") != sent.service) {
        return "a target's body is of another service";
    }
    if (body.value("digest", "") != sent.digest) {
        return "a target's body answers another request";
    }
    return {};
}

std::string result_mistake(const sent_request& sent, const json& answer,
                           const json& result)
{
    const json body = target_body(result);
    if (std::string mistake = body_mistake(sent, body); !mistake.empty()) {
        return mistake;
    }
    if (body.at("snapshot") != answer.at("snapshot")) {
        return "a result is of another snapshot";
    }
    if (body.at("shard") != result.at("shard")) {
        return "a result is of another shard";
    }
    return {};
}

// Collects shard numbers; returns what is wrong with them, or nothing.
std::string collect_shards(const json& list, std::uint64_t total,
                           std::set<std::uint64_t>& shards)
{
    for (const json& each : list) {
        const auto shard = each.at("shard").get<std::uint64_t>();
        if (shard >= total) {
            return "a shard number is not below the total";
        }
        if (!shards.insert(shard).second) {
            return "a shard occurs twice";
        }
    }
    return {};
}

std::string coverage_mistake(const json& answer, checked_answer& checked)
{
    const json& coverage = answer.at("coverage");
    const json& results = answer.at("results");
    const json& missing = coverage.at("missing");
    checked.answered = coverage.at("answered");
    checked.total = coverage.at("total");
    std::set<std::uint64_t> shards;
    for (const json* list : {&results, &missing}) {
        if (std::string mistake = collect_shards(*list, checked.total, shards);
            !mistake.empty()) {
            return mistake;
        }
    }
    if (checked.answered != results.size()) {
        return "the coverage does not count the results";
    }
    if (shards.size() != checked.total) {
        return "results and missing shards do not add up to the total";
    }
    if (coverage.at("complete") != (checked.answered == checked.total)) {
        return "the coverage is called complete or incomplete wrongly";
    }
    return {};
}

checked_answer check_query(const sent_request& sent, const json& answer)
{
    checked_answer checked;
    checked.mistake = coverage_mistake(answer, checked);
    for (const json& result : answer.at("results")) {
        if (checked.mistake.empty()) {
            checked.mistake = result_mistake(sent, answer, result);
        }
    }
    checked.what = checked.mistake.empty() ? checked_answer::kind::served
                                           : checked_answer::kind::wrong;
    return checked;
}

checked_answer check_order(const sent_request& sent, const json& answer)
{
    if (answer.value("outcome", "") != "ran") {
        return wrong("an order's answer does not say that it ran");
    }
    const json body = target_body(answer);
    std::string mistake = body_mistake(sent, body);
    if (mistake.empty() && body.value("request_id", "") != sent.request_id) {
        mistake = "a target's body answers another order";
    }
    if (!mistake.empty()) {
        return wrong(std::move(mistake));
    }
    checked_answer checked;
    checked.what = checked_answer::kind::served;
    return checked;
}

checked_answer check_refusal(const json& answer)
{
    const std::string outcome = answer.value("outcome", "");
    if (outcome != "not run" && outcome != "outcome unknown") {
        return wrong("a refusal does not say whether the request ran");
    }
    checked_answer checked;
    checked.what = outcome == "not run" ? checked_answer::kind::refused_not_run
                                        : checked_answer::kind::refused_unknown;
    return checked;
}

checked_answer check_parsed(const sent_request& sent, unsigned status, const json& answer)
{
    const std::string id = answer.value("request_id", "");
    // The HTTP layer refuses a request before it reads the id.
    if (id != sent.request_id && (status == http::status::ok || !id.empty())) {
        return wrong("the answer is to another request");
    }
    if (status != http::status::ok) {
        return check_refusal(answer);
    }
    if (answer.value("service", "") != sent.service) {
        return wrong("the answer is of another service");
    }
    return sent.is_order ? check_order(sent, answer) : check_query(sent, answer);
}

} // namespace

checked_answer check_answer(const sent_request& sent, unsigned status,
                            std::string_view body)
{
    try {
        return check_parsed(sent, status, json::parse(body));
    }
    catch (const json::exception& error) {
        return wrong(std::string("the answer can't be read: ") + error.what());
    }
}

} // namespace curranthoist::testing
