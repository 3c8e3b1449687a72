#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/deployment/route.hpp"
#include "curranthoist/forwarding/gather_plan.hpp"
#include "curranthoist/forwarding/request_action.hpp"
#include "curranthoist/forwarding/response_kind.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace curranthoist::forwarding {

class extra_send_budget;
class part_latencies;
class send_margin;
class target_directory;

// Points in time that govern one request.
struct request_timing
{
    base::instant arrived;
    // From this time on a gathered response is sent as soon as it has enough shards.
    base::instant soft_deadline;
    // The caller gets its final response at this time at the latest.
    base::instant hard_deadline;
    // Time without a response after which a repeatable request is also sent to another
    // target.
    base::duration hedge_delay;
    // Time without a report after which the shards of a gatherer are sent to targets by
    // this VM too.
    base::duration report_limit;
    // What an answer takes at least. With less than this before the hard deadline,
    // nothing is sent any more; 0 if it is not known.
    base::duration min_answer_time;
};

// How long parts and answers took; null if queries end at the soft deadline only.
struct query_history
{
    const part_latencies* parts = nullptr;
    const send_margin* margin = nullptr;
};

// Decides how one caller's request proceeds: which target gets it, when it is sent again,
// and how it ends. The request goes to one service or to every shard of a query. The
// class performs no I/O; its owner carries out the returned actions in order and reports
// the results. No action follows a finish_action.
//
//     request_attempts run(route, {service}, timing, directory, budget);
//     perform(run.start(now));
//     perform(run.on_answer(call, kind, now));
//     perform(run.on_time(now));              // at run.next_deadline()
//
// The route, the directory, the budget and the history must outlive the object. With a
// history, a query may end before its soft deadline.
class request_attempts
{
public:
    request_attempts(const deployment::route& route,
                     std::vector<base::service_id> services, request_timing timing,
                     const target_directory& directory, extra_send_budget& budget,
                     std::vector<gather_group> groups = {}, query_history history = {});

    std::vector<request_action> start(base::instant now);
    // Records that the call of a send_action was sent. The hedge delay counts from here,
    // because a busy process needs a while for all sends of a query.
    void on_sent(call_id call, base::instant now);
    std::vector<request_action> on_answer(call_id call, response_kind kind,
                                          base::instant now);
    // Records which target a gatherer asked for the call.
    void set_target(call_id call, const base::target_id& target);
    // Records that the call's target is late by a gatherer's report; the shard is hedged
    // now.
    std::vector<request_action> on_late(call_id call, base::instant now);
    std::vector<request_action> on_time(base::instant now);
    // Records that a cancelled call ended before a byte of it was sent.
    void on_cancelled_unsent(call_id call);
    // Returns the outcome for the caller once all cancel_actions before the finish_action
    // have been carried out: a failure becomes a refusal if nothing was sent to a target.
    [[nodiscard]] final_outcome settled_outcome(final_outcome outcome) const;
    // Cancels every open call without a response, because the caller has disconnected.
    std::vector<request_action> abandon();

    [[nodiscard]] bool finished() const { return finished_; }
    // Returns true if a query ended before its soft deadline with shards still out.
    [[nodiscard]] bool ended_early() const { return ended_early_; }
    // Returns the time at which on_time() must be called. A response that causes no
    // action makes this time earlier only by next_end_check().
    [[nodiscard]] base::instant next_deadline() const;
    // Returns the time at which a query that has enough shards may end; max() without
    // one.
    [[nodiscard]] base::instant next_end_check() const { return next_end_check_; }
    // Returns the number of shards of a query, or 1 for a request to one service.
    [[nodiscard]] std::size_t shard_count() const { return shards_.size(); }
    [[nodiscard]] const base::service_id& service_of(std::size_t shard) const
    {
        return shards_.at(shard).service;
    }

private:
    struct attempt_state
    {
        call_id call;
        base::target_id target;
        base::instant sent_at;
        bool open = true;
        response_kind kind = response_kind::unknown;
    };
    struct shard_state
    {
        base::service_id service;
        std::vector<attempt_state> attempts;
        std::optional<call_id> response_call;
        // True if no target is left to try.
        bool failed = false;
        // Time at which the open attempt is hedged, or at which a failed try to hedge it
        // is repeated.
        base::instant hedge_at;

        [[nodiscard]] bool is_open() const { return !response_call && !failed; }
    };

    // Adds an attempt whose target is not known yet and returns its number.
    call_id add_attempt(std::size_t shard_index, const base::target_id& target,
                        base::instant now);
    [[nodiscard]] attempt_state& attempt_of(call_id call);
    void start_groups(base::instant now, std::vector<request_action>& actions);
    [[nodiscard]] bool may_send(const shard_state& shard) const;
    bool send(std::size_t shard_index, const char* reason, base::instant now,
              std::vector<request_action>& actions);
    void retry_or_fail(std::size_t shard_index, base::instant now,
                       std::vector<request_action>& actions);
    void hedge_if_due(std::size_t shard_index, base::instant now,
                      std::vector<request_action>& actions);
    void mark_failed(shard_state& shard);
    [[nodiscard]] bool may_end_early() const;
    // True if the shards that are still out are not worth the wait.
    [[nodiscard]] bool ends_early(base::instant now) const;
    // The chance that a part of the shard comes until then.
    [[nodiscard]] double chance_of(const shard_state& shard, base::instant now,
                                   base::instant until) const;
    void finish_if_decided(base::instant now, std::vector<request_action>& actions);
    void finish(final_outcome outcome, std::vector<request_action>& actions);
    static void cancel_open_attempts(shard_state& shard,
                                     std::vector<request_action>& actions);
    [[nodiscard]] final_outcome failure_outcome(bool deadline_passed) const;
    // True if a target may have run the request or may still run it.
    [[nodiscard]] bool may_have_run() const;
    // Takes back the calls that wait for a connection, once nothing may be sent any more.
    void recall_if_due(base::instant now, std::vector<request_action>& actions);
    // From this time on nothing is sent any more.
    [[nodiscard]] base::instant send_deadline() const;
    [[nodiscard]] std::size_t required_shard_count() const;
    [[nodiscard]] bool may_hedge(const shard_state& shard) const;
    // True if a gatherer has the shard and has not reported.
    [[nodiscard]] static bool awaits_report(const shard_state& shard);

    const deployment::route& route_;
    request_timing timing_;
    const target_directory& directory_;
    extra_send_budget& budget_;
    std::vector<gather_group> groups_;
    query_history history_;
    std::vector<shard_state> shards_;
    // Shard index of each call. Calls are numbered from 1.
    std::vector<std::size_t> shard_index_of_call_;
    std::size_t hedge_count_ = 0;
    // Number of shards that a response must contain, that have responded, and that may
    // still respond.
    std::size_t required_shards_ = 1;
    std::size_t answered_shards_ = 0;
    std::size_t open_shards_ = 0;
    bool soft_deadline_passed_ = false;
    bool recalled_ = false;
    base::instant next_end_check_ = base::instant::max();
    bool finished_ = false;
    bool ended_early_ = false;
};

} // namespace curranthoist::forwarding
