#pragma once

#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/instant.hpp"
#include "curranthoist/consensus/membership_change.hpp"
#include "curranthoist/consensus/replica_status.hpp"

#include <map>
#include <optional>

namespace curranthoist::cored {

// Decides, on the leader, how the members of the replicated log change without an
// operator: a process that asks to join becomes a learner, then a voter, in place of the
// voter that it replaces if there is one; a voter that stays silent is removed while
// enough are left.
//
// Pure: it returns the next change to propose, one at a time.
class membership_keeper
{
public:
    // A voter that the leader has not heard for this time is replaced by one that joins.
    static constexpr base::duration replace_after{2500};
    // A voter that nobody replaces is removed after this time, so that its loss does not
    // count against the next one.
    static constexpr base::duration remove_after{8000};
    // A process that has stopped asking to join is forgotten after this time.
    static constexpr base::duration forget_after{3000};
    // A process that did not act as the leader for this time, or stood still, has heard
    // nobody meanwhile.
    static constexpr base::duration max_pause{500};
    // Voters that are never undercut by a removal.
    static constexpr std::size_t least_voters = 3;

    // A process asks to become a member.
    void on_join(const base::member_id& id, const base::endpoint& address,
                 base::instant now);
    // The change to propose now; nothing if the membership is as it should be. Call it
    // often while this process acts as the leader: silence counts only since then.
    std::optional<consensus::membership_change>
    next_change(const consensus::replica_status& status, base::instant now);

private:
    struct applicant
    {
        base::endpoint address;
        base::instant asked;
    };

    [[nodiscard]] base::duration silence_of(const consensus::replica_status& status,
                                            const base::member_id& id,
                                            base::instant now) const;
    [[nodiscard]] base::member_id
    voter_to_replace(const consensus::replica_status& status,
                     const base::endpoint& address, base::instant now) const;
    [[nodiscard]] std::optional<consensus::membership_change>
    removal(const consensus::replica_status& status, base::instant now) const;

    std::map<base::member_id, applicant> applicants_;
    std::optional<base::instant> called_at_;
    // The end of the last pause.
    base::instant acts_since_;
};

} // namespace curranthoist::cored
