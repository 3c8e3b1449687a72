#pragma once

#include "curranthoist/wire/generated/messages_generated.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace curranthoist::entry {

// Receives the answer to a claim; nothing if the answer is lost, so that nobody knows
// whether the claim was granted.
using claim_callback =
    std::function<void(const std::optional<wire::claim_reply_message>&)>;
// Receives whether the leader stored an outcome.
using record_callback = std::function<void(bool stored)>;

// Claims and outcomes that wait for the leader's answer. A claim is asked once: after the
// connection broke its answer is lost. An outcome is asked again by its order until it is
// answered, because recording it twice has no effect.
class claim_ledger
{
public:
    void add_claim(const wire::claim_request_message& request, claim_callback callback);
    // Replaces the callback of an earlier request to record the same attempt's outcome.
    void add_outcome(const wire::claim_outcome_message& outcome,
                     record_callback callback);

    // Returns true if a claim was granted that nobody waits for any more; the caller
    // records it as not run.
    bool on_reply(const wire::claim_reply& reply);
    void on_acknowledged(const wire::claim_outcome_ack& answer);
    // The connection is gone: every waiting claim's answer is lost.
    void on_disconnected();
    // The order gave up recording the outcome.
    void forget(const std::string& request_id, std::uint64_t attempt);

private:
    using key = std::pair<std::string, std::uint64_t>;

    std::map<key, claim_callback> claims_;
    std::map<key, record_callback> outcomes_;
};

} // namespace curranthoist::entry
