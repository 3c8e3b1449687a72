#pragma once

#include "curranthoist/consensus/replica_schedule_fixture_test.hpp"

namespace curranthoist::consensus::testing_support {

// A random schedule of several pure replicas: every step delivers, drops or doubles one
// message, performs or reports one disk write, moves the clock, or injects a fault. The
// seed determines everything.
template <class Rules, class Faults = new_identities>
class random_schedule
{
public:
    explicit random_schedule(std::uint64_t seed)
        : random_(seed)
    {
        options_.max_append_entries = 1 + random_.below(4);
        options_.max_chunk_bytes = 16;
        options_.retained_entries = random_.below(10);
        options_.max_in_flight = 4;
        // Schedules differ in how often faults strike and how slow the disks are.
        fault_weight_ = 4 + random_.below(16);
        disk_weight_ = 100 + random_.below(200);
        const std::uint64_t voters = random_.chance(0.7) ? 3 : 5;
        std::vector<member> initial;
        for (std::uint64_t i = 0; i < voters; ++i) {
            initial.push_back({new_id(), {"127.0.0.1", 1}, member_role::voter});
        }
        for (const member& one : initial) {
            add_member(one.id, {first_log_entry(membership(initial))});
        }
    }

    // Runs `steps` steps with faults, then ends all faults and checks that the members
    // agree and make progress. Returns the first violation, or an empty text.
    std::string run(std::uint64_t steps)
    {
        for (std::uint64_t i = 0; i < steps && checker_.violation().empty(); ++i) {
            step();
        }
        if (checker_.violation().empty()) {
            settle();
        }
        return checker_.violation();
    }
    [[nodiscard]] std::uint64_t steps() const { return steps_; }
    [[nodiscard]] std::uint64_t acknowledged() const { return acknowledged_; }
    [[nodiscard]] std::uint64_t repairs() const { return repairs_; }
    [[nodiscard]] std::uint64_t second_losses() const { return second_losses_; }
    [[nodiscard]] std::uint64_t reads() const { return reads_confirmed_; }

private:
    using node = scheduled_member<Rules>;
    struct transit
    {
        base::member_id from;
        base::member_id to;
        message_body body;
    };

    base::member_id new_id() { return base::member_id("m" + std::to_string(++ids_)); }

    void add_member(const base::member_id& id,
                    const std::vector<storage::log_entry>& first)
    {
        nodes_.push_back(std::make_unique<node>(id, first));
        start(*nodes_.back());
    }
    void start(node& one)
    {
        one.start(options_, random_.next(), now_);
        commit_seen_[one.id()] = {};
        proposed_[one.id()].clear();
        collect(one);
    }
    node* find(const base::member_id& id)
    {
        for (const auto& one : nodes_) {
            if (one->id() == id) {
                return one.get();
            }
        }
        return nullptr;
    }
    node& any_node() { return *nodes_[random_.below(nodes_.size())]; }
    // Any member that believes it is the leader; deposed ones may be among them.
    node& any_leader()
    {
        std::vector<node*> leaders;
        for (const auto& one : nodes_) {
            if (one->leads()) {
                leaders.push_back(one.get());
            }
        }
        return leaders.empty() ? any_node() : *leaders[random_.below(leaders.size())];
    }
    node* ready_leader()
    {
        node* best = nullptr;
        for (const auto& one : nodes_) {
            if (one->leads() && one->replica().is_ready() &&
                (best == nullptr ||
                 one->replica().current_term() > best->replica().current_term())) {
                best = one.get();
            }
        }
        return best;
    }

    void step()
    {
        ++steps_;
        std::uint64_t dice = random_.below(1000);
        // Takes the next `weight` of 1000 sides of the dice.
        const auto falls_in = [&dice](std::uint64_t weight) {
            const bool hit = dice < weight;
            dice -= hit ? 0 : weight;
            return hit;
        };
        if (falls_in(fault_weight_)) {
            fault();
        }
        else if (falls_in(disk_weight_)) {
            disk_step(any_node());
        }
        else if (falls_in(60)) {
            advance(base::duration(random_.between(1, 30)));
        }
        else if (falls_in(28)) {
            propose(any_leader());
        }
        else if (falls_in(17)) {
            read(any_leader());
        }
        else if (falls_in(5)) {
            compact(any_node());
        }
        else {
            deliver();
        }
    }
    void fault()
    {
        const std::uint64_t dice = random_.below(16);
        if (dice < 3) {
            crash(any_node());
        }
        else if (dice < 8) {
            restart(any_node());
        }
        else if (dice < 10) {
            cut_off(any_node());
        }
        else if (dice < 12) {
            blocked_.clear();
        }
        else if (dice < 13) {
            operate();
        }
        else if (dice < 15) {
            lose_disk(any_node());
        }
        else if (node* leader = ready_leader()) {
            leader->replica().transfer_leadership(now_);
            collect(*leader);
        }
        continue_repair();
    }

    // Takes a replica's output: writes wait for disk steps, messages are under way.
    void collect(node& one)
    {
        replica_output output = one.replica().take_output(now_);
        one.add_writes(std::move(output.writes));
        for (outgoing_message& message : output.messages) {
            if (const auto* vote = std::get_if<vote_reply>(&message.body)) {
                checker_.sent_vote(one.id(), *vote, message.to,
                                   one.replica().members().find(one.id()) != nullptr);
            }
            network_.push_back({one.id(), message.to, std::move(message.body)});
        }
        if (output.restore) {
            one.restore(*output.restore);
            checker_.state(one.id(), one.applied_index(), one.applied());
        }
        auto& proposed = proposed_[one.id()];
        for (const storage::log_entry& entry : output.committed) {
            checker_.committed(one.id(), entry);
            one.apply(entry);
            const auto own = proposed.find(entry.index);
            if (own != proposed.end() && own->second == entry.term) {
                checker_.acknowledged(entry.index);
                ++acknowledged_;
            }
        }
        for (const read_result& read : output.reads) {
            const auto begun = reads_.extract(read.token);
            if (read.confirmed && !begun.empty()) {
                ++reads_confirmed_;
                checker_.read_confirmed(begun.mapped(), read.index);
            }
        }
        const base::log_index commit = one.replica().commit_index();
        checker_.commit_index(std::exchange(commit_seen_[one.id()], commit), commit);
        if (one.leads()) {
            checker_.leads(one.replica().current_term(), one.id(),
                           one.replica().members().is_voter(one.id()));
        }
    }

    void deliver()
    {
        if (network_.empty()) {
            return;
        }
        // Mostly near the front, so that old messages arrive late but not only late ones.
        const std::uint64_t reach = random_.chance(0.8) ? 4 : network_.size();
        const std::uint64_t at =
            random_.below(std::min<std::uint64_t>(reach, network_.size()));
        const transit chosen = network_[at];
        const bool twice = !settling_ && random_.chance(0.03);
        if (!twice) {
            network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(at));
        }
        node* to = find(chosen.to);
        const bool lost = (!settling_ && random_.chance(0.04)) ||
                          blocked_.contains({chosen.from, chosen.to});
        if (lost || to == nullptr || !to->is_up()) {
            return;
        }
        to->replica().on_message(chosen.body, now_);
        collect(*to);
    }
    void disk_step(node& one)
    {
        if (one.is_up()) {
            one.disk_step(random_, now_);
            collect(one);
        }
    }
    void advance(base::duration by)
    {
        now_ = now_ + by;
        for (const auto& one : nodes_) {
            if (one->is_up() && one->replica().next_deadline() <= now_) {
                one->replica().on_time(now_);
                collect(*one);
            }
        }
    }
    void propose(node& one)
    {
        if (!one.is_up()) {
            return;
        }
        std::vector<std::uint8_t> command;
        ++commands_;
        for (unsigned shift = 0; shift < 32; shift += 8) {
            command.push_back(static_cast<std::uint8_t>(commands_ >> shift));
        }
        if (const auto position = one.replica().propose(std::move(command))) {
            proposed_[one.id()][position->index] = position->term;
            collect(one);
        }
    }
    void read(node& one)
    {
        if (one.leads()) {
            reads_[++tokens_] = checker_.highest_acknowledged();
            one.replica().confirm_read(tokens_);
            collect(one);
        }
    }
    void compact(node& one)
    {
        if (one.is_up() && one.applied_index() > one.replica().status().snapshot_index) {
            one.replica().compact(std::make_shared<const storage::log_snapshot>(
                one.replica().make_snapshot(one.applied_index(), one.applied())));
            collect(one);
        }
    }
    void crash(node& one)
    {
        if (one.is_up()) {
            one.crash(random_);
        }
    }
    void restart(node& one)
    {
        if (!one.is_up() && !gone_.contains(one.id())) {
            start(one);
        }
    }
    // Blocks a member's messages in one or both directions.
    void cut_off(const node& one)
    {
        const std::uint64_t directions = 1 + random_.below(3);
        for (const auto& other : nodes_) {
            if ((directions & 1U) != 0) {
                blocked_.insert({one.id(), other->id()});
            }
            if ((directions & 2U) != 0) {
                blocked_.insert({other->id(), one.id()});
            }
        }
    }

    // Loses a voter's disk, unless an earlier loss is not yet repaired: a second loss
    // then may be more than a quorum survives.
    void lose_disk(node& one);
    // True for a voter while no membership change is in progress. A change that added a
    // voter without a replacement counts as in progress until that voter holds it.
    bool is_plain_voter(const base::member_id& id);
    void change(node& leader, membership_change::change_kind kind,
                const base::member_id& id, const base::member_id& replaced);
    // Takes the next step of the replacement of a lost member.
    void continue_repair();
    // Adds or removes a member that has nothing to do with a lost one.
    void operate();
    // Ends all faults and requires progress and agreement within a bounded time.
    void settle();
    void check_agreement();
    // The members' states, for the report of a schedule that ends without a leader.
    std::string describe();

    base::random_source random_;
    replica_options options_;
    base::instant now_{1000};
    schedule_checker checker_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::vector<transit> network_;
    std::set<std::pair<base::member_id, base::member_id>> blocked_;
    std::map<base::member_id, base::log_index> commit_seen_;
    std::map<base::member_id, std::map<base::log_index, base::term>> proposed_;
    std::map<std::uint64_t, base::log_index> reads_;
    // Members whose disk is gone; they never start again.
    std::set<base::member_id> gone_;
    base::member_id lost_;
    base::member_id replacement_;
    // The voter that was added last without replacing one.
    base::member_id growing_;
    bool settling_ = false;
    std::uint64_t fault_weight_ = 0;
    std::uint64_t disk_weight_ = 0;
    std::uint64_t ids_ = 0;
    std::uint64_t commands_ = 0;
    std::uint64_t tokens_ = 0;
    std::uint64_t steps_ = 0;
    std::uint64_t acknowledged_ = 0;
    std::uint64_t repairs_ = 0;
    std::uint64_t second_losses_ = 0;
    std::uint64_t reads_confirmed_ = 0;
};

} // namespace curranthoist::consensus::testing_support

#include "curranthoist/consensus/replica_schedule_operator_test.hpp"
