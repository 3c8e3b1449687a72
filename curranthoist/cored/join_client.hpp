#pragma once

#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/logger.hpp"
#include "curranthoist/http/target_client.hpp"

#include <ev++.h>

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace curranthoist::cored {

// Asks the core's members to take this process in, one address after the other, until the
// leader has done so. An answer that names the leader leads there next.
class join_client
{
public:
    // `id` and `peers` are this process's identity and where other members reach it.
    join_client(ev::loop_ref loop, const base::member_id& id,
                const base::endpoint& peers);
    join_client(const join_client&) = delete;
    join_client& operator=(const join_client&) = delete;

    // Asks every address once; an address is the one where operators reach a member.
    void ask(const std::set<base::endpoint>& addresses);

    // Operators reach a member at this address, as the member said itself.
    void learn(const base::endpoint& member);
    // The members that were learned of last.
    [[nodiscard]] std::span<const base::endpoint> learned() const { return learned_; }
    // This process has a place; its own log names the members.
    void forget_learned() { learned_.clear(); }

    // The oldest of the learned members are forgotten beyond this number.
    static constexpr std::size_t max_learned = 16;

    // The path and body of the request, for the server's side.
    static constexpr const char* path = "/members/join";
    struct application
    {
        base::member_id id;
        base::endpoint address;
    };
    // Nothing if the body is not an application.
    static std::optional<application> decode(const std::string& body);

private:
    void on_result(const http::target_result& result);

    ev::loop_ref loop_;
    base::logger log_{"members"};
    std::string body_;
    std::map<base::endpoint, std::unique_ptr<http::target_client>> clients_;
    // Where the last answers said that the leader is.
    std::set<base::endpoint> leaders_;
    std::vector<base::endpoint> learned_;
};

} // namespace curranthoist::cored
