#include "curranthoist/cored/join_client.hpp"

#include "curranthoist/base/parse_json.hpp"
#include "curranthoist/http/status.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace curranthoist::cored {

namespace {

// A member answers at once or not at all.
constexpr base::duration answer_limit{800};

// The endpoint in a location such as "http://10.0.0.4:8080/path".
std::optional<base::endpoint> endpoint_of(std::string_view location)
{
    constexpr std::string_view scheme = "http://";
    if (!location.starts_with(scheme)) {
        return std::nullopt;
    }
    location.remove_prefix(scheme.size());
    return base::endpoint::parse(location.substr(0, location.find('/')));
}

} // namespace

join_client::join_client(ev::loop_ref loop, const base::member_id& id,
                         const base::endpoint& peers)
    : loop_(loop)
    , body_(nlohmann::json{{"id", id.str()}, {"address", peers.str()}}.dump())
{}

std::optional<join_client::application> join_client::decode(const std::string& body)
{
    const auto fields = base::parse_json(body);
    if (!fields.is_object() || !fields.contains("id") || !fields["id"].is_string() ||
        !fields.contains("address") || !fields["address"].is_string()) {
        return std::nullopt;
    }
    const auto address = base::endpoint::parse(fields["address"].get<std::string>());
    const base::member_id id(fields["id"].get<std::string>());
    return address && !id.empty() ? std::optional(application{id, *address})
                                  : std::nullopt;
}

void join_client::ask(const std::set<base::endpoint>& addresses)
{
    std::set<base::endpoint> all = addresses;
    all.insert(leaders_.begin(), leaders_.end());
    leaders_.clear();
    for (const base::endpoint& one : all) {
        auto& client = clients_[one];
        if (!client) {
            client = std::make_unique<http::target_client>(loop_, one, 1);
        }
        if (client->open_calls() > 0) {
            continue;
        }
        http::target_call call;
        call.path = path;
        call.body = body_;
        call.time_limit = answer_limit;
        // An address may have gone silent and come back as another process.
        call.fresh_connection = true;
        client->start(std::move(call),
                      [this](const http::target_result& result) { on_result(result); });
    }
}

void join_client::learn(const base::endpoint& member)
{
    if (std::find(learned_.begin(), learned_.end(), member) != learned_.end()) {
        return;
    }
    log_.info("event=member_learned operators=" + member.str());
    if (learned_.size() == max_learned) {
        learned_.erase(learned_.begin());
    }
    learned_.push_back(member);
}

void join_client::on_result(const http::target_result& result)
{
    if (result.outcome == http::call_outcome::ok &&
        result.status == http::status::temporary_redirect) {
        if (const auto leader = endpoint_of(result.header("Location").value_or(""))) {
            leaders_.insert(*leader);
        }
    }
}

} // namespace curranthoist::cored
