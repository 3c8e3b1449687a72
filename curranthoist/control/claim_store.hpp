#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/control/claim_record.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace curranthoist::control {

// The answers to a claim. `refused` says that nothing was or will be sent under it.
enum class claim_answer : std::uint8_t
{
    granted,
    ran,
    pending,
    unknown,
    expired,
    too_new,
    refused
};

// Which attempt may send each non-idempotent request, by request id. A value without a
// clock: every call names the time.
//
// A claim is granted to one attempt, once. A claim repeated by the same attempt is never
// granted again, because the first grant may have been used.
class claim_store
{
public:
    // Claims are kept this long, counted from the time in the request id.
    static constexpr base::duration retention{24LL * 60 * 60 * 1000};
    // A request id may be this far ahead of the leader's clock.
    static constexpr base::duration max_ahead{5LL * 60 * 1000};
    // A longer response is not kept; a later claim of its id learns that it ran and how
    // long the response was.
    static constexpr std::size_t max_kept_body_bytes = std::size_t{64} * 1024;
    // All kept responses together; beyond it, responses are not kept.
    static constexpr std::size_t max_total_body_bytes = std::size_t{64} * 1024 * 1024;
    // Beyond it, new claims are refused: nothing runs without a record.
    static constexpr std::size_t max_claims = 500'000;

    // The wall time in a request id `<unix ms>-<unique part>`; nothing if it has another
    // form.
    static std::optional<base::instant> time_in(const base::request_id& id);

    // Claims `id` for the attempt that `wanted` names.
    claim_answer claim(const base::request_id& id, const claim_record& wanted,
                       base::instant now);
    // Stores how the attempt ended: ran, freed or unknown. Returns true if that outcome
    // is now in the store, also when it already was.
    bool record(const base::request_id& id, const claim_record& outcome);
    // Makes pending claims of a VM unknown, except those of incarnation `kept` (0: none).
    // Returns their number.
    std::size_t abandon(const base::vm_id& vm, base::incarnation kept);
    // Drops claims whose time is older than the retention.
    void expire(base::instant now);

    // The record of an id, or nullptr.
    [[nodiscard]] const claim_record* find(const base::request_id& id) const;
    [[nodiscard]] std::size_t size() const { return claims_.size(); }
    [[nodiscard]] std::size_t body_bytes() const { return total_body_bytes_; }
    // The response that a claim of an attempt that ran returns: the kept one, or JSON
    // that says that it was not kept.
    static std::vector<std::uint8_t> response_of(const claim_record& claim);

    // Calls visit(id, record) for each claim, in order of time.
    template <class Visitor>
    void for_each(Visitor visit) const
    {
        for (const auto& [timed_id, value] : claims_) {
            visit(timed_id.second, value);
        }
    }
    // Puts back a record of a snapshot. Returns false if the id has no time or is held.
    [[nodiscard]] bool restore(const base::request_id& id, claim_record value);

private:
    using key = std::pair<base::instant, base::request_id>;

    static claim_answer answer_of(const claim_record& held, const claim_record& wanted);
    void keep_body(claim_record& held, const claim_record& outcome);

    std::map<key, claim_record> claims_;
    std::size_t total_body_bytes_ = 0;
};

} // namespace curranthoist::control
