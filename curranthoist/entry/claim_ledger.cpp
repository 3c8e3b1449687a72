#include "curranthoist/entry/claim_ledger.hpp"

namespace curranthoist::entry {

void claim_ledger::add_claim(const wire::claim_request_message& request,
                             claim_callback callback)
{
    claims_[{request.request_id, request.attempt}] = std::move(callback);
}

void claim_ledger::add_outcome(const wire::claim_outcome_message& outcome,
                               record_callback callback)
{
    outcomes_[{outcome.request_id, outcome.attempt}] = std::move(callback);
}

bool claim_ledger::on_reply(const wire::claim_reply& reply)
{
    if (reply.request_id() == nullptr) {
        return false;
    }
    const auto found = claims_.find({reply.request_id()->str(), reply.attempt()});
    if (found == claims_.end()) {
        return reply.answer() == wire::claim_answer::granted;
    }
    const claim_callback callback = std::move(found->second);
    claims_.erase(found);
    wire::claim_reply_message message;
    reply.UnPackTo(&message);
    callback(message);
    return false;
}

void claim_ledger::on_acknowledged(const wire::claim_outcome_ack& answer)
{
    if (answer.request_id() == nullptr) {
        return;
    }
    const auto found = outcomes_.find({answer.request_id()->str(), answer.attempt()});
    if (found == outcomes_.end()) {
        return;
    }
    const record_callback callback = std::move(found->second);
    outcomes_.erase(found);
    callback(answer.stored());
}

void claim_ledger::on_disconnected()
{
    const std::map<key, claim_callback> lost = std::move(claims_);
    claims_.clear();
    for (const auto& [id, callback] : lost) {
        callback(std::nullopt);
    }
}

void claim_ledger::forget(const std::string& request_id, std::uint64_t attempt)
{
    claims_.erase({request_id, attempt});
    outcomes_.erase({request_id, attempt});
}

} // namespace curranthoist::entry
