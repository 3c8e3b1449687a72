#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/http/target_result.hpp"
#include "curranthoist/testing/platform/stand_in_platform.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace curranthoist::testing {

// What a soak's callers, targets and operators saw. The checks look at nothing else.
struct soak_observation
{
    enum class request_kind : std::uint8_t
    {
        // Over every shard, repeatable.
        query,
        // To one target, repeatable.
        lookup,
        // To one target, at most once.
        order,
    };
    struct request
    {
        request_kind kind = request_kind::query;
        std::size_t vm = 0;
        std::string attempt;
        base::instant sent;
        base::instant ended;
        http::target_result result;
    };
    // A time in which a VM's front was killed, paused or cut off by the soak.
    struct disturbance
    {
        std::size_t vm = 0;
        base::instant from;
        base::instant to;
    };
    // A time in which the list said of a target that it is cold, is leaving or must get
    // nothing.
    struct rest
    {
        std::string target;
        base::instant from;
        base::instant to;
    };
    struct acknowledgement
    {
        std::uint64_t version = 0;
        base::instant at;
    };
    struct reading
    {
        std::uint64_t version = 0;
        base::instant sent;
    };

    std::vector<request> requests;
    std::vector<stand_in_platform::run> runs;
    std::vector<disturbance> disturbances;
    std::vector<rest> cold;
    // Calm ones: everything had time to learn of them.
    std::vector<rest> barred;
    std::vector<acknowledgement> acknowledgements;
    std::vector<reading> readings;
    // Invalid configurations that were acknowledged.
    std::vector<std::string> invalid_acknowledged;
    // Requests of a planned stop without any fault.
    std::vector<request> stop_requests;
    // Processes that ended by themselves.
    std::vector<std::string> own_ends;
};

} // namespace curranthoist::testing
