#pragma once

#include "curranthoist/consensus/replica_host.hpp"

#include <algorithm>
#include <cstdlib>
#include <exception>
#include <utility>

// Definitions of replica_host's members.

namespace curranthoist::consensus {

namespace internal {

// The process's exit status after a disk failure.
constexpr int disk_failure_status = 70;

inline host_options with_default_failure(host_options options)
{
    if (!options.on_fatal) {
        // No destructor or exit handler runs, because nothing may be written any more.
        options.on_fatal = [](const std::string&) { std::_Exit(disk_failure_status); };
    }
    return options;
}

} // namespace internal

template <state_machine Machine, class Disk>
replica_host<Machine, Disk>::replica_host(ev::loop_ref loop,
                                          storage::log_store<Disk>& store,
                                          Machine& machine, host_options options,
                                          peer_links::entry_handler on_entry)
    : store_(store)
    , machine_(machine)
    , options_(internal::with_default_failure(std::move(options)))
    , replica_(store.take_recovered(), options_.replica, options_.seed, clock_.now())
    , links_(
          loop,
          {replica_.self(), options_.zone, options_.incarnation, options_.listen,
           options_.accepted, options_.traffic, options_.address, options_.on_dialed_by},
          [this](const message_body& message) { on_peer_message(message); },
          std::move(on_entry))
    , timer_(loop)
    , wake_timer_(loop)
{
    timer_.set<replica_host, &replica_host::on_timer>(this);
    wake_timer_.set<replica_host, &replica_host::on_wake>(this);
    wake();
}

template <state_machine Machine, class Disk>
void replica_host<Machine, Disk>::propose(std::vector<std::uint8_t> command,
                                          proposal_callback callback)
{
    const auto position = failed_ ? std::nullopt : replica_.propose(std::move(command));
    if (position) {
        proposals_[position->index] = {position->term, std::move(callback)};
    }
    else {
        deferred_.push_back([callback = std::move(callback)] {
            callback(proposal_outcome::refused, base::log_index());
        });
    }
    wake();
}

template <state_machine Machine, class Disk>
void replica_host<Machine, Disk>::confirm_read(read_callback callback)
{
    reads_[++next_token_] = std::move(callback);
    replica_.confirm_read(next_token_);
    wake();
}

template <state_machine Machine, class Disk>
std::string
replica_host<Machine, Disk>::change_membership(const membership_change& change)
{
    std::string reason = replica_.propose_change(change);
    wake();
    return reason;
}

template <state_machine Machine, class Disk>
bool replica_host<Machine, Disk>::transfer_leadership()
{
    const bool started = replica_.transfer_leadership(clock_.now());
    wake();
    return started;
}

template <state_machine Machine, class Disk>
void replica_host<Machine, Disk>::set_leadership_handler(leadership_handler handler)
{
    on_leadership_ = std::move(handler);
}

template <state_machine Machine, class Disk>
std::optional<base::term> replica_host<Machine, Disk>::led_term() const
{
    const auto led = leads_ && !failed_ ? replica_.led_term(clock_.now()) : std::nullopt;
    return led == leads_in_ ? led : std::nullopt;
}

template <state_machine Machine, class Disk>
std::optional<member> replica_host<Machine, Disk>::leader() const
{
    const member* found = replica_.members().find(replica_.leader());
    return found == nullptr ? std::nullopt : std::optional(*found);
}

template <state_machine Machine, class Disk>
void replica_host<Machine, Disk>::on_timer(ev::timer& /*watcher*/, int /*events*/)
{
    wake();
}

template <state_machine Machine, class Disk>
void replica_host<Machine, Disk>::on_wake(ev::timer& /*watcher*/, int /*events*/)
{
    process();
}

template <state_machine Machine, class Disk>
void replica_host<Machine, Disk>::on_peer_message(const message_body& message)
{
    if (!failed_) {
        replica_.on_message(message, clock_.now());
        wake();
    }
}

template <state_machine Machine, class Disk>
void replica_host<Machine, Disk>::wake()
{
    if (!failed_ && !wake_timer_.is_active()) {
        wake_timer_.start(0.0);
    }
}

template <state_machine Machine, class Disk>
void replica_host<Machine, Disk>::process()
{
    // An exception must not reach libev, which is C code.
    try {
        replica_.on_time(clock_.now());
        while (process_once()) {
        }
        take_snapshot_if_due();
    }
    catch (const std::exception& error) {
        fail(error.what());
        return;
    }
    schedule();
}

template <state_machine Machine, class Disk>
bool replica_host<Machine, Disk>::process_once()
{
    replica_output output = replica_.take_output(clock_.now());
    // Messages of this output need none of its writes; followers sync at the same time.
    for (const outgoing_message& message : output.messages) {
        links_.send(message);
    }
    for (const disk_write& one : output.writes) {
        write(one);
    }
    if (!output.writes.empty()) {
        replica_.on_disk_done(output.writes.back().number, clock_.now());
    }
    if (output.restore) {
        machine_.restore(output.restore->data);
        applied_ = output.restore->index;
        snapshot_at_ = applied_;
    }
    for (const storage::log_entry& entry : output.committed) {
        apply(entry);
    }
    if (!(replica_.members() == dialed_)) {
        dialed_ = replica_.members();
        links_.set_members(dialed_.members());
    }
    report_leadership();
    finish_proposals();
    finish_reads(output.reads);
    for (const auto& call : std::exchange(deferred_, {})) {
        call();
    }
    return !output.writes.empty() || !output.committed.empty() || !deferred_.empty();
}

template <state_machine Machine, class Disk>
void replica_host<Machine, Disk>::write(const disk_write& write)
{
    if (const auto* vote = std::get_if<storage::vote_record>(&write.content)) {
        store_.write_vote(*vote);
    }
    else if (const auto* append = std::get_if<append_write>(&write.content)) {
        store_.append(append->entries);
    }
    else if (const auto* stored = std::get_if<snapshot_write>(&write.content)) {
        store_.write_snapshot(*stored->snapshot, stored->discard_log);
    }
}

template <state_machine Machine, class Disk>
void replica_host<Machine, Disk>::apply(const storage::log_entry& entry)
{
    if (entry.kind == storage::entry_kind::command) {
        machine_.apply(entry.index, std::span<const std::uint8_t>(entry.data));
    }
    applied_ = entry.index;
    const auto found = proposals_.find(entry.index);
    if (found != proposals_.end()) {
        const pending_proposal pending = std::move(found->second);
        proposals_.erase(found);
        // Another leader's entry at this index means that the command is not in the log;
        // `unknown` is the safe answer, and the same as after lost leadership.
        pending.callback(pending.term == entry.term ? proposal_outcome::applied
                                                    : proposal_outcome::unknown,
                         entry.index);
    }
}

template <state_machine Machine, class Disk>
void replica_host<Machine, Disk>::take_snapshot_if_due()
{
    if (applied_.value() - snapshot_at_.value() < options_.entries_per_snapshot) {
        return;
    }
    snapshot_at_ = applied_;
    replica_.compact(std::make_shared<const storage::log_snapshot>(
        replica_.make_snapshot(applied_, machine_.snapshot())));
    while (process_once()) {
    }
}

template <state_machine Machine, class Disk>
void replica_host<Machine, Disk>::finish_proposals()
{
    if (replica_.is_leader() && replica_.current_term() == proposals_term_) {
        return;
    }
    proposals_term_ = replica_.current_term();
    // Entries proposed in a term that has ended for this member.
    for (auto at = proposals_.begin(); at != proposals_.end();) {
        if (replica_.is_leader() && at->second.term == proposals_term_) {
            ++at;
            continue;
        }
        const pending_proposal pending = std::move(at->second);
        const base::log_index index = at->first;
        at = proposals_.erase(at);
        deferred_.push_back([callback = pending.callback, index] {
            callback(proposal_outcome::unknown, index);
        });
    }
}

template <state_machine Machine, class Disk>
void replica_host<Machine, Disk>::finish_reads(const std::vector<read_result>& results)
{
    for (const read_result& result : results) {
        auto waiting = reads_.extract(result.token);
        if (waiting.empty()) {
            continue;
        }
        if (result.confirmed) {
            confirmed_.push_back({result.index, std::move(waiting.mapped())});
        }
        else {
            deferred_.push_back(
                [callback = std::move(waiting.mapped())] { callback(false); });
        }
    }
    const auto ready =
        std::stable_partition(confirmed_.begin(), confirmed_.end(),
                              [&](const auto& one) { return one.index > applied_; });
    for (auto at = ready; at != confirmed_.end(); ++at) {
        deferred_.push_back([callback = std::move(at->callback)] { callback(true); });
    }
    confirmed_.erase(ready, confirmed_.end());
}

template <state_machine Machine, class Disk>
void replica_host<Machine, Disk>::report_leadership()
{
    const bool leads = replica_.is_ready();
    if (leads == leads_ && (!leads || replica_.current_term() == leads_in_)) {
        return;
    }
    // A member that lost and regained leadership reports both.
    if (leads_ && leads) {
        leads_ = false;
        if (on_leadership_) {
            on_leadership_(false);
        }
    }
    leads_ = leads;
    leads_in_ = replica_.current_term();
    log_.info(leads ? "member " + replica_.self().str() + " leads in term " +
                          std::to_string(leads_in_.value())
                    : "member " + replica_.self().str() + " no longer leads");
    if (on_leadership_) {
        on_leadership_(leads);
    }
}

template <state_machine Machine, class Disk>
void replica_host<Machine, Disk>::schedule()
{
    const base::instant deadline = replica_.next_deadline();
    timer_.stop();
    if (deadline == base::instant::max()) {
        return;
    }
    const base::duration wait = deadline - clock_.now();
    timer_.start(std::max(0.0, wait.seconds()));
}

template <state_machine Machine, class Disk>
void replica_host<Machine, Disk>::fail(const std::string& reason)
{
    failed_ = true;
    timer_.stop();
    wake_timer_.stop();
    log_.error("member " + replica_.self().str() + " stops: " + reason);
    options_.on_fatal(reason);
}

} // namespace curranthoist::consensus
