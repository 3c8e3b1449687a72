#include "curranthoist/entry/answers.hpp"

#include "curranthoist/http/status.hpp"
#include "curranthoist/routing/scatter_action.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace curranthoist::entry {

namespace {

// Invalid UTF-8 in a path or header is replaced; it must not make an answer fail.
std::string json_text(std::string_view text)
{
    return nlohmann::json(text).dump(-1, ' ', false,
                                     nlohmann::json::error_handler_t::replace);
}

std::string head(const base::request_id& id, const base::service_id& service)
{
    return R"({"request_id":)" + json_text(id.str()) + R"(,"service":)" +
           json_text(service.str());
}

std::string missing_list(const routing::respond& result)
{
    std::string text;
    for (const routing::missing_shard& one : result.missing) {
        text += (text.empty() ? R"({"shard":)" : R"(,{"shard":)") +
                std::to_string(one.shard.value()) + R"(,"reason":)" +
                json_text(one.reason) + "}";
    }
    return text;
}

std::string coverage(const routing::respond& result)
{
    return R"({"answered":)" + std::to_string(result.results.size()) + R"(,"total":)" +
           std::to_string(result.total) + R"(,"complete":)" +
           (result.complete() ? "true" : "false") + R"(,"missing":[)" +
           missing_list(result) + "]}";
}

} // namespace

http::caller_response query_answer(const base::request_id& id,
                                   const base::service_id& service,
                                   const routing::respond& result)
{
    http::caller_response response;
    response.body = head(id, service) + R"(,"snapshot":)" +
                    std::to_string(result.snapshot.value()) + R"(,"coverage":)" +
                    coverage(result) + R"(,"results":[)";
    bool first = true;
    for (const routing::shard_result& one : result.results) {
        response.body += (first ? R"({"shard":)" : R"(,{"shard":)") +
                         std::to_string(one.shard.value()) + R"(,"body":)";
        response.body += one.body;
        response.body += "}";
        first = false;
    }
    response.body += "]}";
    return response;
}

http::caller_response order_answer(const base::request_id& id,
                                   const base::service_id& service, std::string_view body)
{
    http::caller_response response;
    response.body = head(id, service) + R"(,"outcome":"ran","body":)" +
                    (body.empty() ? "null" : std::string(body)) + "}";
    return response;
}

unsigned refusal_status(base::duration time_left)
{
    // Answers leave up to 15 ms before the deadline, and the loop may be late by a turn.
    constexpr base::duration answer_margin{20};
    return time_left <= answer_margin ? http::status::gateway_timeout
                                      : http::status::service_unavailable;
}

http::caller_response refusal_answer(const base::request_id& id, const refusal& why)
{
    const bool not_run = why.outcome == request_outcome::not_run;
    http::caller_response response;
    response.status = why.status;
    response.body = R"({"request_id":)" + json_text(id.str()) + R"(,"error":)" +
                    json_text(why.error) + R"(,"outcome":)" +
                    (not_run ? R"("not run"})" : R"("outcome unknown"})");
    return response;
}

} // namespace curranthoist::entry
