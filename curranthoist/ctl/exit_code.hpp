#pragma once

namespace curranthoist::ctl {

// The program's exit codes; --help lists them.
enum class exit_code : int
{
    done = 0,
    // The command line, the intents or their JSON have mistakes.
    usage = 2,
    // The rules refuse the intent.
    refused = 3,
    // The configuration changed since the plan, or the intent id was used for another
    // one.
    conflict = 4,
    // No control process answered; whether an intent was accepted is not known.
    unavailable = 5,
    // The operator did not confirm the plan.
    declined = 6,
    // `explain` found no such decision.
    not_found = 7,
    // `check` found errors for which the core would refuse the document.
    invalid_document = 8,
    // `check` could not read the document or the one in force.
    unreadable_document = 9
};

} // namespace curranthoist::ctl
