#pragma once

#include "curranthoist/base/findings.hpp"
#include "curranthoist/control/claim_store.hpp"
#include "curranthoist/control/decision.hpp"
#include "curranthoist/control/intent_outcome.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace curranthoist::control {

// What happened to an operator's intent.
struct intent_result
{
    enum class status : std::uint8_t
    {
        accepted,
        // The same intent was accepted before; `outcome` is the first one.
        repeated,
        // The id was used for another intent.
        id_reused,
        // An operator changed the configuration after the plan's base revision.
        stale,
        // The rules refuse it; see `refused`.
        refused
    };

    base::intent_id id;
    status result = status::refused;
    intent_outcome outcome;
    base::findings refused;
    // For `stale`: the operators' decisions since the plan's base revision.
    std::vector<decision> since;
};

struct claim_result
{
    base::request_id id;
    base::vm_id vm;
    base::incarnation run;
    std::uint64_t attempt = 0;
    claim_answer answer = claim_answer::refused;
    std::vector<std::uint8_t> body;
};

struct record_result
{
    base::request_id id;
    base::vm_id vm;
    base::incarnation run;
    std::uint64_t attempt = 0;
    bool stored = false;
};

struct assignments_result
{
    // One sentence for each change that was applied, with its reason.
    std::vector<std::string> changes;
    // Changes that no longer fitted the assignment in force.
    std::size_t skipped = 0;
};

// A process was opened, closed, or neither because the command no longer fitted.
struct incarnation_result
{
    base::vm_id vm;
    base::incarnation run;
    bool open = false;
    bool closed = false;
    // Pending claims that became unknown.
    std::size_t abandoned = 0;
};

struct vm_removed_result
{
    base::vm_id vm;
    bool removed = false;
};

struct member_replaced_result
{
    std::string old_member;
};

// The command can't be read; it changes nothing.
struct malformed_result
{};

// What one committed command did.
using apply_result = std::variant<malformed_result, intent_result, claim_result,
                                  record_result, assignments_result, incarnation_result,
                                  vm_removed_result, member_replaced_result>;

} // namespace curranthoist::control
