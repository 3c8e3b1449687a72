#pragma once

#include "curranthoist/base/random_source.hpp"
#include "curranthoist/control/commands.hpp"
#include "curranthoist/control/intent.hpp"
#include "curranthoist/control/schedule_parts_test.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace curranthoist::control {

// Three control members, some VMs and a random schedule of failovers, cut connections,
// late, lost and repeated messages, and restarts. The log is a shared list that only the
// present leader can extend; a former leader that is cut off still believes that it
// leads.
class controller_schedule
{
public:
    static constexpr int members = 3;
    static constexpr int vms = 4;
    static constexpr int targets = 8;

    controller_schedule(std::uint64_t seed, controller_rules rules)
        : random_(seed)
    {
        for (auto& one : members_) {
            one.leader = std::make_unique<controller>(one.state, rules);
        }
        declare();
        elect(0);
        for (int i = 0; i < vms; ++i) {
            start_vm(i);
        }
    }

    // Runs for `time`; `faults` makes failovers, cuts and restarts happen.
    void run(base::duration time, bool faults)
    {
        faults_ = faults;
        while (!faults && !out_since_.empty()) {
            // A copy, because toggle() erases the entry that holds the id.
            const base::target_id id = out_since_.begin()->first;
            toggle(id);
        }
        const base::instant end = now_ + time;
        while (now_ < end) {
            now_ = now_ + base::duration(10);
            if (faults) {
                inject_faults();
            }
            while (!events_.empty() && events_.begin()->first <= now_) {
                const auto action = std::move(events_.begin()->second);
                events_.erase(events_.begin());
                action();
            }
            tick();
            check();
            check_out_targets();
        }
    }
    // The first violation that was seen, or empty.
    [[nodiscard]] const std::string& violation() const { return violation_; }
    // Whether every target has a live holder now.
    [[nodiscard]] bool all_held() const
    {
        for (int i = 0; i < targets; ++i) {
            if (holders(target(i)).size() != 1) {
                return false;
            }
        }
        return true;
    }
    // Whether every running VM has the configuration in force.
    [[nodiscard]] bool all_current() const
    {
        return std::all_of(processes_.begin(), processes_.end(), [this](const auto& one) {
            return !one.running || one.vm->known() == state().current();
        });
    }
    [[nodiscard]] const cluster_state& state() const { return members_[present_].state; }

private:
    using member = schedule_member;
    using process = schedule_process;

    event_time time() const { return {now_, now_}; }
    base::duration delay(int most) { return base::duration(random_.between(1, most)); }
    void later(base::instant at, std::function<void()> action)
    {
        events_.emplace(at, std::move(action));
    }

    void declare_one(intent wanted)
    {
        encoded::operator_intent_message command;
        command.intent_id = "i" + std::to_string(log_.size());
        command.operator_name = "test";
        command.base_revision = members_[present_].applied == 0
                                    ? log_.size()
                                    : state().operator_revision().value();
        command.value = std::make_unique<intent>(std::move(wanted));
        log_.push_back(encode_command(now_, std::move(command)));
    }
    void declare()
    {
        intent zone;
        zone.kind = intent_kind::add_zone;
        zone.subject = "z";
        declare_one(zone);
        for (int i = 0; i < vms; ++i) {
            intent vm;
            vm.kind = intent_kind::add_vm;
            vm.subject = "v" + std::to_string(i);
            vm.zone = "z";
            vm.address = "127.0.0.1:" + std::to_string(7000 + i);
            declare_one(vm);
        }
        intent service;
        service.kind = intent_kind::create_service;
        service.subject = "s";
        for (int i = 0; i < targets; ++i) {
            auto one = std::make_unique<encoded::declared_target_message>();
            one->id = target(i).str();
            one->zone = "z";
            one->address = "127.0.0.1:" + std::to_string(9000 + i);
            service.targets.push_back(std::move(one));
        }
        declare_one(service);
    }

    void apply_log(std::size_t number)
    {
        member& one = members_[number];
        while (one.applied < log_.size()) {
            const std::size_t index = one.applied++;
            const apply_result result =
                one.state.apply(base::log_index(index + 1), log_[index]);
            committed_.note(one.state.current());
            one.leader->on_applied(result, time());
        }
    }
    void elect(std::size_t number)
    {
        present_ = number;
        ++term_;
        apply_log(number);
        members_[number].leader->on_leadership_gained(time());
        drain(number);
    }
    void drain(std::size_t number)
    {
        controller_output output = members_[number].leader->take_output();
        for (auto& command : output.proposals) {
            const std::uint64_t term = term_;
            later(now_ + delay(30), [this, number, term, command = std::move(command)] {
                // A former leader's last commands may have reached a quorum.
                const bool lucky = term + 1 == term_ && random_.chance(0.3) &&
                                   !members_[present_].leader->is_ready();
                if ((number == present_ && term == term_) || lucky) {
                    log_.push_back(command);
                    apply_log(present_);
                    drain(present_);
                }
            });
        }
        if (output.confirm_read) {
            confirm(number, *output.confirm_read);
        }
        for (const auto& message : output.messages) {
            send_down(number, message);
        }
    }
    void confirm(std::size_t number, std::uint64_t round)
    {
        const bool confirmed = number == present_;
        const std::uint64_t term = term_;
        later(now_ + delay(20), [this, number, round, confirmed, term] {
            members_[number].leader->on_read_confirmed(round, confirmed && term == term_,
                                                       time());
            drain(number);
        });
    }
    void send_down(std::size_t number, const session_message& message)
    {
        process* to = process_of(number, message.session);
        const bool lost = faults_ && random_.chance(0.01);
        if (to == nullptr || !to->running || now_ < to->cut_until || lost) {
            return;
        }
        if (faults_ && random_.chance(0.02)) {
            // A repeated message, which arrives out of order too.
            later(now_ + delay(500), [=, this] { arrive(number, message); });
        }
        to->in_order_down = std::max(to->in_order_down, now_ + delay(40));
        later(to->in_order_down, [=, this] { arrive(number, message); });
    }
    void arrive(std::size_t number, const session_message& message)
    {
        process* receiver = process_of(number, message.session);
        if (receiver != nullptr && receiver->running) {
            receiver->vm->receive(message.frame);
            if (!receiver->vm->refused) {
                receiver->last_grant = now_;
            }
        }
    }
    process* process_of(std::size_t number, session_number session)
    {
        for (process& one : processes_) {
            if (one.member == number && one.session == session) {
                return &one;
            }
        }
        return nullptr;
    }

    void start_vm(int number)
    {
        process started;
        const double rate = 0.95 + random_.unit() * 0.1;
        started.vm =
            std::make_unique<simulated_vm>(base::vm_id("v" + std::to_string(number)),
                                           base::incarnation(++last_run_), rate);
        processes_.push_back(std::move(started));
        connect(processes_.back());
    }
    void connect(process& one)
    {
        if (one.session != 0) {
            later(now_ + delay(3000), [this, member = one.member, session = one.session] {
                members_[member].leader->on_session_closed(session);
            });
        }
        // Often a hint names the leader.
        one.member = !faults_ || random_.chance(0.5) ? present_ : random_.below(members);
        one.session = ++last_session_;
        one.last_grant = now_;
        one.in_order_up = now_;
        one.in_order_down = now_;
        wire::hello_message hello;
        hello.id = one.vm->vm().str();
        hello.incarnation = one.vm->run().value();
        send_up(one, std::move(hello));
    }
    template <class Message>
    void send_up(process& one, Message message)
    {
        // Some messages are very late.
        const int most = faults_ && random_.chance(0.02) ? 3000 : 40;
        one.in_order_up = std::max(one.in_order_up, now_ + delay(most));
        if (now_ < one.cut_until) {
            return;
        }
        later(one.in_order_up, [this, member = one.member, session = one.session,
                                frame = wire::encode_frame(std::move(message))] {
            const std::span<const std::uint8_t> all(frame);
            const wire::envelope* body =
                wire::verified_envelope(all.subspan(wire::frame_prefix_bytes));
            controller& receiver = *members_[member].leader;
            if (const auto* hello = body->body_as_hello()) {
                receiver.on_session_opened(session, *hello, time());
            }
            else {
                receiver.on_message(session, *body, time());
            }
            drain(member);
        });
    }

    void tick()
    {
        if (now_.count() % 100 == 0) {
            for (std::size_t i = 0; i < members_.size(); ++i) {
                members_[i].leader->on_time(time());
                drain(i);
            }
        }
        for (process& one : processes_) {
            if (!one.running || now_ < one.next_heartbeat) {
                continue;
            }
            one.next_heartbeat = now_ + base::duration(500);
            if (now_ - one.last_grant > base::duration(1500)) {
                connect(one);
            }
            send_up(one, one.vm->heartbeat(now_));
        }
    }
    // An operator takes the target out of service, or in again.
    void toggle(const base::target_id& id)
    {
        const bool out = out_since_.erase(id) == 0;
        if (out) {
            out_since_[id] = now_;
        }
        intent wanted;
        wanted.kind = out ? intent_kind::target_out : intent_kind::target_in;
        wanted.subject = id.str();
        apply_log(present_);
        declare_one(std::move(wanted));
        apply_log(present_);
        drain(present_);
    }
    void inject_faults()
    {
        if (random_.chance(0.002)) {
            toggle(target(static_cast<int>(random_.below(targets))));
        }
        if (random_.chance(0.001)) {
            elect((present_ + 1 + random_.below(members - 1)) % members);
        }
        if (random_.chance(0.002)) {
            process& one = processes_[random_.below(processes_.size())];
            one.cut_until = now_ + delay(7000);
        }
        if (random_.chance(0.0005)) {
            process& one = processes_[random_.below(processes_.size())];
            if (one.running) {
                // The old process is frozen: it keeps its lease until that ends.
                one.running = false;
                start_vm(std::stoi(one.vm->vm().str().substr(1)));
            }
        }
        // A former leader learns sooner or later that it does not lead any more.
        for (std::size_t i = 0; i < members_.size(); ++i) {
            if (i != present_ && random_.chance(0.001)) {
                members_[i].leader->on_leadership_lost();
            }
        }
    }
    [[nodiscard]] std::vector<const process*> holders(const base::target_id& id) const
    {
        std::vector<const process*> found;
        for (const process& one : processes_) {
            if (one.vm->holds(id, now_)) {
                found.push_back(&one);
            }
        }
        return found;
    }
    void check()
    {
        for (const process& one : processes_) {
            if (!committed_.has(one.vm->known()) && violation_.empty()) {
                violation_ =
                    one.vm->vm().str() + " has a revision that was not committed";
            }
        }
        for (int i = 0; i < targets && violation_.empty(); ++i) {
            const auto found = holders(target(i));
            if (found.size() > 1) {
                violation_ = "target " + target(i).str() + " is held by " +
                             found[0]->vm->vm().str() + " and " +
                             found[1]->vm->vm().str() + " at " +
                             std::to_string(now_.count()) + " ms";
            }
        }
    }

    // A target that operators took out gets no new work later than 2 s for the revision
    // and 4 s for the lease, by clocks that run up to 5% slower.
    void check_out_targets()
    {
        for (const auto& [id, since] : out_since_) {
            for (const process* one : holders(id)) {
                if (now_ - since > base::duration(6'300) &&
                    one->vm->starts_work_at(id, now_) && violation_.empty()) {
                    violation_ = "target " + id.str() + " gets work from " +
                                 one->vm->vm().str() + " at " +
                                 std::to_string(now_.count()) + " ms and is out since " +
                                 std::to_string(since.count()) + " ms";
                }
            }
        }
    }

    base::random_source random_;
    base::instant now_{1'000'000};
    std::multimap<base::instant, std::function<void()>> events_;
    std::vector<std::vector<std::uint8_t>> log_;
    std::array<member, members> members_;
    std::size_t present_ = 0;
    bool faults_ = false;
    std::uint64_t term_ = 0;
    // Processes stay in the list after they ended: a frozen one may still hold a lease.
    std::vector<process> processes_;
    std::uint64_t last_run_ = 0;
    session_number last_session_ = 0;
    std::map<base::target_id, base::instant> out_since_;
    committed_configurations committed_;
    std::string violation_;
};

} // namespace curranthoist::control
