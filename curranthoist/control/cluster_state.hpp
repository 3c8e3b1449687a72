#pragma once

#include "curranthoist/control/apply_result.hpp"
#include "curranthoist/control/claim_store.hpp"
#include "curranthoist/control/configuration.hpp"
#include "curranthoist/control/decision.hpp"
#include "curranthoist/control/generated/commands_generated.h"
#include "curranthoist/control/intent_outcome.hpp"
#include "curranthoist/control/member_replacement.hpp"
#include "curranthoist/control/open_process.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace curranthoist::control {

// The replicated state. Every member applies the same commands in the same order and has
// the same state; it reads no clock, because each command carries the leader's wall time.
//
//     cluster_state state;
//     const apply_result result = state.apply(index, encode_command(now, claim));
//
// Revisions: `current().number` rises with every change of the configuration.
// `operator_revision()` is the revision of the last change that an operator made; plans
// are compared against it, so the leader's assignments don't invalidate them.
class cluster_state
{
public:
    // Accepted intents are remembered this long and up to this number. A resend after
    // that is refused as stale, because the intent itself raised the operator revision.
    static constexpr base::duration outcome_retention{7LL * 24 * 60 * 60 * 1000};
    static constexpr std::size_t max_outcomes = 4'000;
    // Kept decisions; the oldest go first.
    static constexpr std::size_t max_operator_decisions = 1'000;
    static constexpr std::size_t max_leader_decisions = 1'000;

    // Applies one committed command. Bytes that are no command change nothing.
    apply_result apply(base::log_index index, std::span<const std::uint8_t> command);

    [[nodiscard]] const configuration& current() const { return configuration_; }
    [[nodiscard]] base::revision operator_revision() const { return operator_revision_; }
    // The highest wall time that a command has carried.
    [[nodiscard]] base::instant time() const { return time_; }
    [[nodiscard]] base::log_index applied_index() const { return applied_index_; }
    [[nodiscard]] const claim_store& claims() const { return claims_; }
    // The process of a VM that may hold a lease, if there is one.
    [[nodiscard]] std::optional<base::incarnation>
    open_incarnation(const base::vm_id& vm) const;
    [[nodiscard]] const std::map<base::vm_id, open_process>& open_processes() const
    {
        return open_processes_;
    }
    [[nodiscard]] const std::optional<member_replacement>& wanted_replacement() const
    {
        return wanted_replacement_;
    }
    // The first outcome of an accepted intent, or nullptr.
    [[nodiscard]] const intent_outcome* outcome_of(const base::intent_id& id) const;
    // Operators' decisions after `base`, oldest first.
    [[nodiscard]] std::vector<decision>
    operator_decisions_since(base::revision base) const;
    // All kept decisions in order of revision.
    [[nodiscard]] std::vector<decision> decisions() const;

    // The state as bytes, for a log snapshot.
    [[nodiscard]] std::vector<std::uint8_t> snapshot() const;
    // The reverse. Throws base::findings_error if the bytes are no snapshot.
    static cluster_state restore(std::span<const std::uint8_t> bytes);

private:
    apply_result apply_body(const encoded::command_message& command);
    intent_result apply_intent_command(const encoded::operator_intent_message& command);
    void accept_intent(const encoded::operator_intent_message& command,
                       intent_result& result);
    claim_result apply_claim(const encoded::claim_message& command);
    record_result apply_record(const encoded::record_claim_message& command);
    assignments_result apply_assignments(const encoded::change_assignments_message& all);
    [[nodiscard]] bool owns_any(const base::vm_id& vm) const;
    bool apply_change(const encoded::assignment_change_message& change);
    [[nodiscard]] bool may_own(const encoded::assignment_change_message& change) const;
    incarnation_result apply_open(const encoded::open_incarnation_message& command);
    incarnation_result apply_close(const encoded::close_incarnation_message& command);
    vm_removed_result apply_remove_vm(const encoded::remove_vm_message& command);
    void add_decision(std::deque<decision>& list, std::size_t limit, decision value);
    void drop_old();

    configuration configuration_;
    base::revision operator_revision_;
    base::instant time_;
    base::log_index applied_index_;
    base::fence last_fence_;
    claim_store claims_;
    std::map<base::intent_id, intent_outcome> outcomes_;
    std::deque<base::intent_id> outcome_order_;
    std::deque<decision> operator_decisions_;
    std::deque<decision> leader_decisions_;
    std::map<base::vm_id, open_process> open_processes_;
    std::optional<member_replacement> wanted_replacement_;
};

} // namespace curranthoist::control
