#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace curranthoist::testing {

// What an entry answered to one request, as far as it could be verified.
struct checked_answer
{
    enum class kind
    {
        // A query's results or an order that ran.
        served,
        refused_not_run,
        refused_unknown,
        // Not an answer that the design page allows.
        wrong,
    };

    kind what = kind::wrong;
    // Shards that answered, and all; for served queries.
    std::uint64_t answered = 0;
    std::uint64_t total = 0;
    // What is wrong with a wrong answer.
    std::string mistake;
};

// What the load generator knows of the request that it checks an answer against.
struct sent_request
{
    std::string request_id;
    std::string service;
    bool is_order = false;
    // query_digest() of the body, which every target echoes.
    std::string digest;
};

// Checks the request id, that all results come from the snapshot that the response names,
// that no shard occurs twice, that the coverage agrees with the results, and that every
// result belongs to this request's body.
checked_answer check_answer(const sent_request& sent, unsigned status,
                            std::string_view body);

} // namespace curranthoist::testing
