#pragma once

#include "curranthoist/coreclient/leader_schedule_fixture_test.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace curranthoist::coreclient::testing_support {

// A random schedule of the code that decides who acts as the leader and who is believed:
// the replicas of the log, and what fronts make of the answers and lists of the members.
// A VM may stand still between any two events, and handles what has come meanwhile in any
// order. The seed determines everything.
class leader_schedule
{
public:
    leader_schedule(std::uint64_t seed, versions run)
        : random_(seed)
        , run_(run)
    {
        std::vector<consensus::member> initial;
        for (std::size_t i = 0; i < member_count; ++i) {
            initial.push_back({id(i), address(i), consensus::member_role::voter});
        }
        for (std::size_t i = 0; i < member_count; ++i) {
            member_process& one = vms_[i].member;
            one.log = std::make_unique<
                consensus::testing_support::scheduled_member<replica_rules>>(
                id(i), std::vector<storage::log_entry>{
                           consensus::first_log_entry(consensus::membership(initial))});
            start(i);
        }
    }

    // Returns the first violation, or an empty text.
    std::string run(std::uint64_t steps)
    {
        for (std::uint64_t i = 0; i < steps && checker_.violation().empty(); ++i) {
            if (random_.chance(0.0015)) {
                fault();
            }
            step();
        }
        settle();
        return checker_.violation();
    }
    [[nodiscard]] std::size_t terms_led() const { return elected_.size(); }
    [[nodiscard]] std::size_t lists_dropped() const { return lists_dropped_; }
    // Lists that fronts took from another member than the leader of their term.
    [[nodiscard]] std::size_t foreign_lists() const { return foreign_lists_; }

private:
    static base::member_id id(std::size_t i)
    {
        return base::member_id("m" + std::to_string(i));
    }
    static std::size_t index(const base::member_id& id)
    {
        return static_cast<std::size_t>(id.str().back() - '0');
    }
    static base::endpoint address(std::size_t i)
    {
        return {"10.0.0." + std::to_string(i + 1), 7000};
    }
    bool runs(std::size_t i) const { return now_ >= vms_[i].stands_still_until; }

    void start(std::size_t i)
    {
        member_process& one = vms_[i].member;
        one.log->start({}, random_.next(), now_);
        one.is_old = run_ == versions::all_old ||
                     (run_ == versions::mixed && !settling_ && random_.chance(0.5));
        one.reported_leads = false;
        one.under_way.reset();
        one.published.reset();
        one.sequence = 0;
        one.sent = {};
        process(i);
    }
    void fault()
    {
        const std::size_t i = random_.below(vm_count);
        const std::uint64_t dice = random_.below(10);
        // Leaders are struck more often.
        const std::size_t leader = any_leader();
        const std::size_t struck = random_.chance(0.6) ? leader : i;
        if (dice < 5) {
            stop(vms_[struck], base::duration(random_.between(50, 3000)));
        }
        else if (dice < 7) {
            vms_[struck].cut_off = true;
        }
        else if (dice < 9) {
            for (vm& one : vms_) {
                one.cut_off = false;
            }
        }
        else if (i < member_count && runs(i)) {
            vms_[i].member.log->crash(random_);
            drop_connections(i);
            start(i);
        }
    }
    void stop(vm& one, base::duration length)
    {
        if (now_ >= one.stands_still_until) {
            one.stands_still_from = now_;
        }
        one.stands_still_until = std::max(one.stands_still_until, now_ + length);
        if (one.stands_still_until - one.stands_still_from >=
            consensus::replica_options().min_election_timeout) {
            one.woken_at = one.stands_still_until;
            one.heard_since.clear();
        }
    }
    std::size_t any_leader()
    {
        for (std::size_t i = 0; i < member_count; ++i) {
            if (vms_[i].member.log->leads() && random_.chance(0.7)) {
                return i;
            }
        }
        return random_.below(vm_count);
    }
    void drop_connections(std::size_t i)
    {
        for (auto& [ends, queue] : links_) {
            if (ends.first == i || ends.second == i) {
                queue.clear();
            }
        }
    }

    // One event of one VM that runs.
    void step()
    {
        if (random_.chance(0.05)) {
            now_ = now_ + base::duration(random_.between(1, 20));
        }
        const std::size_t i = random_.below(vm_count);
        if (!runs(i)) {
            return;
        }
        // A turn of the loop handles many messages, of which those from before the VM
        // stood still come first on each connection.
        const std::uint64_t dice = random_.below(20);
        if (dice >= 4) {
            handle_one(i);
        }
        else if (dice >= 3 || i >= member_count) {
            report(i);
        }
        else if (dice >= 1) {
            process(i);
        }
        else {
            read_page(i);
        }
    }
    // The next message of any connection.
    void handle_one(std::size_t to)
    {
        const std::size_t first = random_.below(vm_count);
        for (std::size_t k = 0; k < vm_count; ++k) {
            const std::size_t from = (first + k) % vm_count;
            auto& queue = links_[{from, to}];
            if (queue.empty() || vms_[from].cut_off != vms_[to].cut_off) {
                continue;
            }
            const transit next = std::move(queue.front());
            queue.pop_front();
            if (next.sent_at >= vms_[to].woken_at) {
                vms_[to].heard_since.insert(from);
            }
            std::visit([&](const auto& body) { handle(from, to, body); }, next.body);
            return;
        }
    }
    void send(std::size_t from, std::size_t to, message_body body)
    {
        links_[{from, to}].push_back({std::move(body), now_});
    }

    void handle(std::size_t /*from*/, std::size_t to, const consensus::message_body& body)
    {
        vms_[to].member.log->replica().on_message(body, now_);
    }
    void handle(std::size_t from, std::size_t to, const report_message& report)
    {
        member_process& one = vms_[to].member;
        const auto led = may_act(to);
        if (led && one.published && one.published->number.term == *led &&
            report.held != one.published->number &&
            (one.sent[from] != one.published->number ||
             now_ - one.sent_at[from] >= listing_delay)) {
            send_list(to, from, *one.published);
        }
        answer_message answer;
        answer.report_sent_at = report.sent_at;
        answer.leads = led.has_value();
        answer.term = one.is_old ? base::term()
                                 : led.value_or(one.log->replica().latest_leader_term());
        send(to, from, answer);
    }
    void handle(std::size_t from, std::size_t to, const answer_message& answer)
    {
        front_process& front = vms_[to].front;
        const auto verdict = front.leader.hear(
            {address(from), answer.leads, answer.term, answer.report_sent_at}, now_);
        const bool is_believed = verdict == followed_leader::verdict::known ||
                                 verdict == followed_leader::verdict::changed;
        if (is_believed && answer.term < front.latest_heard &&
            answer.term != base::term()) {
            checker_.report("a front follows the leader of an earlier term");
        }
        front.latest_heard = std::max(front.latest_heard, answer.term);
    }
    void handle(std::size_t from, std::size_t to, const list_message& list)
    {
        front_process& front = vms_[to].front;
        if (!front.order.take(list.number, list.base, front.leader)) {
            return;
        }
        const auto elected = elected_.find(list.number.term);
        if (elected != elected_.end() && elected->second != from) {
            ++foreign_lists_;
        }
        if (list.number.term < front.latest_heard) {
            checker_.report("a front takes the list of an earlier term");
        }
        front.leader.hear_term(list.number.term);
        front.latest_heard = std::max(front.latest_heard, list.number.term);
        front.held = list.number;
        front.shown = list.shown;
    }

    // The term in which the member's process acts as the leader, if it does.
    std::optional<base::term> may_act(std::size_t i)
    {
        const member_process& one = vms_[i].member;
        if (!one.reported_leads) {
            return std::nullopt;
        }
        auto& replica = one.log->replica();
        const auto led =
            one.is_old ? std::optional(replica.current_term()) : replica.led_term(now_);
        if (!led || (!one.is_old && *led != one.reported_term)) {
            return std::nullopt;
        }
        if (!one.is_old || run_ == versions::all_old) {
            check_acts(i, *led);
        }
        return led;
    }
    void check_acts(std::size_t i, base::term term)
    {
        const auto elected = elected_.find(term);
        if (elected == elected_.end() || elected->second != i) {
            checker_.report("a member acts in a term in which it was not elected");
        }
        // One other member and itself are a quorum.
        const bool stood_still_long = vms_[i].woken_at > base::instant();
        if (run_ != versions::all_old && stood_still_long &&
            vms_[i].heard_since.empty()) {
            checker_.report("a member acts after it stood still, before it hears others");
        }
    }

    // One turn of the loop of the member's process.
    void process(std::size_t i)
    {
        member_process& one = vms_[i].member;
        auto& replica = one.log->replica();
        replica.on_time(now_);
        for (bool again = true; again;) {
            consensus::replica_output output = replica.take_output(now_);
            again = !output.writes.empty();
            one.log->add_writes(std::move(output.writes));
            while (again && one.log->has_writes()) {
                one.log->disk_step(random_, now_);
            }
            for (consensus::outgoing_message& message : output.messages) {
                send(i, index(message.to), std::move(message.body));
            }
        }
        if (replica.is_leader()) {
            elected_.try_emplace(replica.current_term(), i);
            checker_.leads(replica.current_term(), id(i), true);
        }
        const bool leads = replica.is_ready();
        if (leads != one.reported_leads ||
            (leads && one.reported_term != replica.current_term())) {
            one.reported_leads = leads;
            one.reported_term = replica.current_term();
            one.published.reset();
            one.under_way.reset();
            if (leads) {
                begin_reading(i);
            }
        }
        if (leads && !one.under_way && now_ - one.read_at >= reading_interval) {
            begin_reading(i);
        }
    }
    void begin_reading(std::size_t i)
    {
        member_process& one = vms_[i].member;
        one.read_at = now_;
        shown_ += !settling_ && random_.chance(0.5) ? 1 : 0;
        one.under_way = reading{one.reported_term, shown_,
                                now_ + base::duration(random_.between(1, 600))};
    }
    // The last page of the list arrives.
    void read_page(std::size_t i)
    {
        member_process& one = vms_[i].member;
        if (!one.under_way || now_ < one.under_way->ends_at) {
            return;
        }
        const reading done = *std::exchange(one.under_way, std::nullopt);
        const auto led = may_act(i);
        if (!led || (!one.is_old && *led != done.term)) {
            ++lists_dropped_;
            return;
        }
        if (one.published && one.published->number.term == *led &&
            one.published->shown == done.shown) {
            return;
        }
        const auto before = one.published;
        one.published = list_message{{address(i), *led, ++one.sequence}, 0, done.shown};
        for (std::size_t to = 0; to < vm_count; ++to) {
            list_message list = *one.published;
            const bool has_base =
                before && before->number.term == *led && one.sent[to] == before->number;
            list.base = has_base ? before->number.sequence : 0;
            send_list(i, to, list);
        }
    }
    void send_list(std::size_t from, std::size_t to, const list_message& list)
    {
        vms_[from].member.sent[to] = list.number;
        vms_[from].member.sent_at[to] = now_;
        send(from, to, list);
    }

    void report(std::size_t i)
    {
        front_process& front = vms_[i].front;
        for (std::size_t to = 0; to < member_count; ++to) {
            if (now_ - front.reported_at[to] >= report_interval) {
                front.reported_at[to] = now_;
                send(i, to, report_message{now_, front.order.held_for(address(to))});
            }
        }
    }

    // Ends all faults and requires that each front holds the list of the one leader.
    void settle()
    {
        settling_ = true;
        for (vm& one : vms_) {
            one.cut_off = false;
        }
        const base::instant end = now_ + quiet_time;
        while (now_ < end && checker_.violation().empty()) {
            step();
        }
        if (!checker_.violation().empty()) {
            return;
        }
        const auto leader = std::max_element(elected_.begin(), elected_.end());
        const auto& published = vms_[leader->second].member.published;
        for (const vm& one : vms_) {
            if (!published || one.front.held != published->number ||
                one.front.shown != published->shown) {
                const listing_number& held = one.front.held;
                checker_.report(
                    "a front holds list " + std::to_string(held.sequence) + " of term " +
                    std::to_string(held.term.value()) + " of " + held.publisher.str() +
                    ", the leader of term " + std::to_string(leader->first.value()) +
                    " is " + address(leader->second).str() + " and has published " +
                    (published ? std::to_string(published->number.sequence) : "none"));
            }
            if (one.front.leader.address() != address(leader->second) ||
                !one.front.leader.responds(now_)) {
                checker_.report("a front does not follow the leader");
            }
        }
    }

    base::random_source random_;
    versions run_;
    base::instant now_{100'000};
    schedule_checker checker_;
    std::array<vm, vm_count> vms_;
    std::map<std::pair<std::size_t, std::size_t>, std::deque<transit>> links_;
    std::map<base::term, std::size_t> elected_;
    std::uint64_t shown_ = 0;
    std::size_t lists_dropped_ = 0;
    std::size_t foreign_lists_ = 0;
    bool settling_ = false;
};

} // namespace curranthoist::coreclient::testing_support
