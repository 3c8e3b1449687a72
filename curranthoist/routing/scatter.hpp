#pragma once

#include "curranthoist/routing/reply_check.hpp"
#include "curranthoist/routing/scatter_action.hpp"
#include "curranthoist/routing/scatter_context.hpp"
#include "curranthoist/routing/service_map.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace curranthoist::routing {

struct scatter_options
{
    // The query number, unique at this VM within its incarnation. Every reply must name
    // it.
    std::uint64_t query = 0;
    base::instant deadline;
    // If true, a partial result is refused.
    bool demand_complete = false;
    // The response is sent this long before the deadline, so that it reaches the caller
    // in time. The margin covers up to 3 ms of network latency each way and one turn of
    // the event loop, both twice.
    base::duration answer_margin{15};
};

// Returns the reason why an attempt with this status failed.
std::string_view reason_text(wire::part_status status);

// One query. The query chooses the snapshot, sends one message to each owner VM, checks
// the replies, retries and hedges within the service's budget, and responds exactly once.
// The class does no I/O; the shell carries out the actions of each event in their order:
//
//     scatter<> query(context, map, options);
//     run(query.start(now));
//     run(query.on_part_reply(now, owner, reply));
//
// Events after the respond action return no actions. Only tests replace `Check`, to prove
// that they detect a weaker check.
template <replica_choice Choice = configured_choice, hedging Hedging = configured_hedging,
          reply_check Check = strict_reply_check>
class scatter
{
public:
    using context_type = scatter_context<Choice, Hedging>;
    using actions = std::vector<scatter_action>;

    // The maximum number of attempts for one shard in one snapshot: the first attempt, a
    // hedge or retry, and one more retry.
    static constexpr std::size_t max_attempts = 3;
    // An attempt without a reply for silence_p95_factor times the p95, and for at least
    // min_silence_timeout, counts as failed, because its owner may be unresponsive. A
    // later reply to this attempt is still accepted while the shard is open.
    static constexpr base::duration min_silence_timeout{100};
    static constexpr int silence_p95_factor = 4;

    // `context` must outlive the query. A null `map` means that the service is unknown.
    scatter(context_type& context, std::shared_ptr<const service_map> map,
            const scatter_options& options);
    // Removes the query's open parts from the shared load table.
    ~scatter();
    scatter(const scatter&) = delete;
    scatter& operator=(const scatter&) = delete;

    [[nodiscard]] actions start(base::instant now);
    // Handles a reply that arrived from `owner`. Replies that are late, repeated, wrong,
    // or meant for another query or part are not counted.
    [[nodiscard]] actions on_part_reply(base::instant now, const base::vm_id& owner,
                                        const part_reply& reply);
    // Fails the open attempts at `owner`, because the peer connection to that VM broke or
    // could not be used.
    [[nodiscard]] actions on_owner_lost(base::instant now, const base::vm_id& owner);
    [[nodiscard]] actions on_time(base::instant now);
    // Cancels every open part without a response, because the caller closed its
    // connection.
    [[nodiscard]] actions cancel(base::instant now);

    // Returns the time at which on_time() must be called, or instant::max() once the
    // query is finished.
    [[nodiscard]] base::instant next_wakeup() const;
    [[nodiscard]] bool finished() const { return finished_; }
    // Returns the number of hedges and retries so far.
    [[nodiscard]] std::uint32_t extra_sends() const { return extra_sends_; }

private:
    struct open_attempt
    {
        part_attempt part;
        bool unresponsive = false;
    };

    struct shard_state
    {
        bool responded = false;
        // The number of attempts in the current snapshot.
        std::size_t attempts = 0;
        std::vector<open_attempt> open_attempts;
        std::set<base::target_id> tried;
        // The earliest time of the next attempt to hedge or to replace an unresponsive
        // attempt.
        base::instant next_extra_send;
        // The reason of the last failure.
        std::string reason;
        std::string body;
    };

    // An extra send that found no token or no idle replica is tried again after this
    // interval.
    static constexpr base::duration extra_send_retry_interval{10};

    void send_first_attempts(base::instant now, base::snapshot_version version,
                             actions& out);
    void restart_on_other_snapshot(base::instant now, actions& out);
    void accept_reply(base::instant now, shard_state& shard, const part_attempt& part,
                      const part_reply& reply, actions& out);
    void fail_attempt(base::instant now, std::size_t shard_index,
                      std::size_t attempt_index, std::string_view reason, actions& out);
    void check_shard_timers(base::instant now, std::size_t shard_index, actions& out);
    bool send_extra(base::instant now, std::size_t shard_index, bool only_unloaded,
                    actions& out);
    void send(base::instant now, std::size_t shard_index, const replica& where,
              actions& out);
    void close_attempts(shard_state& shard, actions& out);
    void finish_if_done(actions& out);
    void finish(actions& out);
    void refuse(std::string text, actions& out);
    void handle_late_reply(const part_reply& reply);
    [[nodiscard]] respond build_response();
    [[nodiscard]] const replica*
    choose_replica(base::instant now, std::size_t shard_index, bool only_unloaded);
    // Returns the shard index and the attempt index of the open attempt with this part
    // number. If there is none, the shard index is the number of shards.
    [[nodiscard]] std::pair<std::size_t, std::size_t>
    find_open_attempt(std::uint64_t part_number) const;
    [[nodiscard]] base::instant response_deadline() const
    {
        return options_.deadline - options_.answer_margin;
    }
    [[nodiscard]] base::duration silence_timeout() const;
    [[nodiscard]] base::instant shard_wakeup(const shard_state& shard) const;

    context_type& context_;
    std::shared_ptr<const service_map> map_;
    scatter_options options_;
    Check check_;
    base::snapshot_version version_;
    std::vector<base::snapshot_version> excluded_;
    std::vector<shard_state> shards_;
    std::uint64_t next_part_ = 1;
    std::uint32_t extra_sends_ = 0;
    // True if a target may have run a part.
    bool may_have_run_ = false;
    bool finished_ = false;
};

} // namespace curranthoist::routing

#include "curranthoist/routing/scatter_impl.hpp"
#include "curranthoist/routing/scatter_parts.hpp"

namespace curranthoist::routing {

// The instantiation that the entry process uses is compiled once, in scatter.cpp.
extern template class scatter<configured_choice, configured_hedging, strict_reply_check>;

} // namespace curranthoist::routing
