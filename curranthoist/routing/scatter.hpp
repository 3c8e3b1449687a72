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
    // Unique at this VM for its incarnation; every reply must name it.
    std::uint64_t query = 0;
    base::instant deadline;
    // A partial result is refused.
    bool demand_complete = false;
    // The response is sent this long before the deadline, so that it reaches the caller:
    // up to 3 ms of network each way and a turn of the loop, with room for both twice.
    base::duration answer_margin{15};
};

// Why an attempt with that status is no answer.
std::string_view reason_text(wire::part_status status);

// One query: chooses the snapshot, sends one message to each owner VM, checks the
// replies, retries and hedges within the service's budget, and responds exactly once. It
// does no I/O; the shell carries out the actions of each event in their order:
//
//     scatter<> query(context, map, options);
//     run(query.start(now));
//     run(query.on_part_reply(now, owner, reply));
//
// After the respond action, every later event returns no actions. `Check` is replaced
// only by tests that show that a weaker check is noticed.
template <replica_choice Choice = configured_choice, hedging Hedging = configured_hedging,
          reply_check Check = strict_reply_check>
class scatter
{
public:
    using context_type = scatter_context<Choice, Hedging>;
    using actions = std::vector<scatter_action>;

    // Attempts at one shard in one snapshot: the first, a hedge or retry, one more retry.
    static constexpr std::size_t most_attempts = 3;
    // An attempt without any reply for 4 times the p95, at least for this long, counts as
    // failed: its owner may be silent. Its reply is still accepted while the shard is
    // open.
    static constexpr base::duration shortest_silence{100};
    static constexpr int silence_factor = 4;

    // `context` must outlive the query. A null map means an unknown service.
    scatter(context_type& context, std::shared_ptr<const service_map> map,
            const scatter_options& options);
    // Takes the query's open parts out of the shared loads.
    ~scatter();
    scatter(const scatter&) = delete;
    scatter& operator=(const scatter&) = delete;

    [[nodiscard]] actions start(base::instant now);
    // A reply that arrived from `owner`. Late, repeated, crossed and wrong ones are not
    // counted.
    [[nodiscard]] actions on_part_reply(base::instant now, const base::vm_id& owner,
                                        const part_reply& reply);
    // The peer connection to that VM broke or couldn't be used: its open attempts failed.
    [[nodiscard]] actions on_owner_lost(base::instant now, const base::vm_id& owner);
    [[nodiscard]] actions on_time(base::instant now);
    // The caller closed its connection: cancels every open part, responds nothing.
    [[nodiscard]] actions cancel(base::instant now);

    // When on_time() must be called; instant::max() once the query is finished.
    [[nodiscard]] base::instant next_wakeup() const;
    [[nodiscard]] bool finished() const { return finished_; }
    // Hedges and retries so far.
    [[nodiscard]] std::uint32_t extra_sends() const { return extra_sends_; }

private:
    struct open_attempt
    {
        part_attempt sent;
        bool silent = false;
    };

    struct shard_state
    {
        bool answered = false;
        // Sends in this snapshot.
        std::size_t attempts = 0;
        std::vector<open_attempt> open;
        std::set<base::target_id> tried;
        // The earliest time of the next try to hedge or to replace a silent attempt.
        base::instant next_try;
        // Of the last failure.
        std::string reason;
        std::string body;
    };

    // A try that found no token or no idle replica is repeated after this time.
    static constexpr base::duration next_try_after{10};

    void begin(base::instant now, base::snapshot_version version, actions& out);
    void restart(base::instant now, actions& out);
    void count(base::instant now, shard_state& shard, const part_attempt& sent,
               const part_reply& reply, actions& out);
    void fail(base::instant now, std::size_t number, std::size_t index,
              std::string_view reason, actions& out);
    void watch_shard(base::instant now, std::size_t number, actions& out);
    bool send_extra(base::instant now, std::size_t number, bool only_unloaded,
                    actions& out);
    void send(base::instant now, std::size_t number, const replica& where, actions& out);
    void close_attempts(shard_state& shard, actions& out);
    void finish_if_done(actions& out);
    void finish(actions& out);
    void refuse(std::string text, actions& out);
    void count_late(const part_reply& reply);
    [[nodiscard]] respond result();
    [[nodiscard]] const replica* choose(base::instant now, std::size_t number,
                                        bool only_unloaded);
    // The shard and the place in its list of the open attempt with that part number; the
    // number of shards if there is none.
    [[nodiscard]] std::pair<std::size_t, std::size_t> find_open(std::uint64_t part) const;
    [[nodiscard]] base::instant answer_time() const
    {
        return options_.deadline - options_.answer_margin;
    }
    [[nodiscard]] base::duration silence() const;
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
    // A part may have been run by a target.
    bool may_have_run_ = false;
    bool finished_ = false;
};

} // namespace curranthoist::routing

#include "curranthoist/routing/scatter_impl.hpp"
#include "curranthoist/routing/scatter_parts.hpp"

namespace curranthoist::routing {

// The instantiation that the entry process uses is compiled once.
extern template class scatter<configured_choice, configured_hedging, strict_reply_check>;

} // namespace curranthoist::routing
