#include "curranthoist/cored/founding_api.hpp"

#include "curranthoist/base/parse_json.hpp"
#include "curranthoist/cored/founder_choice.hpp"
#include "curranthoist/http/status.hpp"

#include <nlohmann/json.hpp>

namespace curranthoist::cored::founding_api {

namespace {

std::optional<base::endpoint> endpoint_in(const std::string& body, const char* name)
{
    const auto fields = base::parse_json(body);
    if (!fields.is_object() || !fields.contains(name) || !fields[name].is_string()) {
        return std::nullopt;
    }
    return base::endpoint::parse(fields[name].get<std::string>());
}

} // namespace

std::string encode_request(const base::endpoint& peers)
{
    return nlohmann::json{{"address", peers.str()}}.dump();
}

void answer_request(founder_choice& choice, const http::caller_request& request,
                    const http::responder& answer, base::instant now)
{
    const auto peers = endpoint_in(request.body, "address");
    if (!peers) {
        answer.respond({.status = http::status::bad_request,
                        .body = R"({"error":"names no address"})"});
        return;
    }
    const auto founder = choice.ask(*peers, now);
    const nlohmann::json body{
        {"founder", founder ? nlohmann::json(founder->str()) : nlohmann::json()}};
    answer.respond({.body = body.dump()});
}

std::optional<base::endpoint> decode_answer(const std::string& body)
{
    return endpoint_in(body, "founder");
}

} // namespace curranthoist::cored::founding_api
