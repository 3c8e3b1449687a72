#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/instant.hpp"

namespace curranthoist::coreclient {

struct leader_claim;

// Decides whom a process outside the log takes for the leader of the core. It takes
// nothing from the leader of an earlier term than the latest one that any member named,
// and nothing from an answer to a report that it sent long ago: a process that stood
// still finds such answers when it runs again.
//
// Pure; the time is an argument.
class followed_leader
{
public:
    // What a claim came to.
    enum class verdict
    {
        // The member does not say that it leads.
        no_leader,
        // The member says that it leads and is not believed.
        refused,
        // The leader that was followed before.
        known,
        // Another member, or the same one in another term. It knows nothing of what was
        // reported to the one before, and its numbers are its own.
        changed,
    };

    // A leader that has not answered a report that was sent within `limit` counts as
    // gone.
    explicit followed_leader(base::duration limit)
        : limit_(limit)
    {}

    verdict hear(const leader_claim& claim, base::instant now);
    // The members told of a leader of this term in another way.
    void hear_term(base::term term);

    // True while the leader answers and no later one is known.
    [[nodiscard]] bool responds(base::instant now) const;
    // The leader that was believed last; empty if there was none.
    [[nodiscard]] const base::endpoint& address() const { return address_; }
    // Its term; 0 if its version does not tell.
    [[nodiscard]] base::term term() const { return term_; }
    // The latest term of which any member has named a leader.
    [[nodiscard]] base::term latest_term() const { return latest_term_; }

private:
    [[nodiscard]] bool is_believed(const leader_claim& claim, base::instant now) const;
    [[nodiscard]] bool has_answered(base::instant now) const;

    base::duration limit_;
    base::endpoint address_;
    base::term term_;
    base::term latest_term_;
    // When the last report was sent that this leader has answered.
    base::instant asked_at_;
};

} // namespace curranthoist::coreclient
