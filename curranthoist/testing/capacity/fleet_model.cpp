#include "curranthoist/testing/capacity/fleet_model.hpp"

#include "curranthoist/control/commands.hpp"

#include <algorithm>
#include <set>
#include <stdexcept>
#include <utility>

namespace curranthoist::testing {

namespace {

constexpr std::size_t shards_per_service = 80;
constexpr std::size_t replicas = 2;
constexpr std::size_t targets_per_service = shards_per_service * replicas;

std::string vm_name(std::size_t number)
{
    return "vm-" + std::to_string(number);
}

std::string zone_name(std::size_t number)
{
    return "zone-" + std::to_string(number);
}

std::string target_name(std::size_t number)
{
    return "target-" + std::to_string(number);
}

std::string address(int network, std::size_t number, int port)
{
    constexpr std::size_t hosts = 250;
    return "10." + std::to_string(network) + "." + std::to_string(number / hosts) + "." +
           std::to_string(number % hosts + 1) + ":" + std::to_string(port);
}

std::unique_ptr<wire::target_fact_message> fact_of(const std::string& target)
{
    const std::size_t number = std::stoul(target.substr(target.find('-') + 1));
    auto fact = std::make_unique<wire::target_fact_message>();
    fact->target = target;
    fact->boot_id = "boot-0123456789abcdef";
    fact->reachable = true;
    auto held = std::make_unique<wire::held_snapshot_message>();
    held->version = 1;
    held->shard =
        static_cast<std::uint32_t>(number % targets_per_service % shards_per_service);
    held->shards = shards_per_service;
    fact->snapshots.push_back(std::move(held));
    return fact;
}

} // namespace

fleet_model::fleet_model(const fleet_size& size)
    : controller_(state_)
{
    for (std::size_t i = 0; i < size.vms; ++i) {
        vm_model vm;
        vm.id = base::vm_id(vm_name(i));
        vms_.push_back(std::move(vm));
    }
    controller_.on_leadership_gained(now());
    settle();
    declare(size);
    for (vm_model& vm : vms_) {
        open_session(vm);
    }
    settle();
}

control::event_time fleet_model::now() const
{
    return {time_, time_};
}

void fleet_model::declare(const fleet_size& size)
{
    using control::encoded::intent_kind;
    if (size.zones == 0) {
        throw std::invalid_argument("a fleet needs a zone");
    }
    const auto submit = [this](control::encoded::intent_message value) {
        control::encoded::operator_intent_message command;
        command.intent_id = "intent-" + std::to_string(next_intent_++);
        command.operator_name = "capacity";
        command.base_revision = state_.operator_revision().value();
        command.value =
            std::make_unique<control::encoded::intent_message>(std::move(value));
        propose(control::encode_command(time_, std::move(command)));
    };
    for (std::size_t i = 0; i < size.zones; ++i) {
        control::encoded::intent_message zone;
        zone.kind = intent_kind::add_zone;
        zone.subject = zone_name(i);
        submit(std::move(zone));
    }
    for (std::size_t i = 0; i < size.vms; ++i) {
        control::encoded::intent_message vm;
        vm.kind = intent_kind::add_vm;
        vm.subject = vm_name(i);
        vm.zone = zone_name(i % size.zones);
        vm.address = address(1, i, 7000);
        submit(std::move(vm));
    }
    for (std::size_t first = 0; first < size.targets; first += targets_per_service) {
        control::encoded::intent_message service;
        service.kind = intent_kind::create_service;
        service.subject = "service-" + std::to_string(first / targets_per_service);
        const std::size_t end = std::min(size.targets, first + targets_per_service);
        for (std::size_t i = first; i < end; ++i) {
            auto target = std::make_unique<control::encoded::declared_target_message>();
            target->id = target_name(i);
            target->zone = zone_name(i % size.zones);
            target->address = address(2, i, 9000);
            service.targets.push_back(std::move(target));
        }
        submit(std::move(service));
    }
}

void fleet_model::propose(std::vector<std::uint8_t> command)
{
    ++traffic_.commands;
    traffic_.command_bytes += command.size();
    const base::log_index index = state_.applied_index().next();
    const control::apply_result result = state_.apply(index, command);
    controller_.on_applied(result, now());
}

// Carries out the controller's output until it has none.
void fleet_model::settle()
{
    constexpr int most_turns = 10'000;
    for (int i = 0; i < most_turns; ++i) {
        control::controller_output output = controller_.take_output();
        if (output.proposals.empty() && output.messages.empty() && !output.confirm_read) {
            return;
        }
        for (std::vector<std::uint8_t>& command : output.proposals) {
            propose(std::move(command));
        }
        for (const control::session_message& message : output.messages) {
            deliver(message);
        }
        if (output.confirm_read) {
            controller_.on_read_confirmed(*output.confirm_read, true, now());
        }
    }
    throw std::runtime_error("the controller's output does not end");
}

void fleet_model::deliver(const control::session_message& message)
{
    traffic_.bytes += message.frame.size();
    ++traffic_.messages;
    const auto found = by_session_.find(message.session);
    if (found == by_session_.end()) {
        return;
    }
    const std::vector<std::uint8_t> body(message.frame.begin() + wire::frame_prefix_bytes,
                                         message.frame.end());
    const wire::envelope* envelope = wire::verified_envelope(body);
    if (envelope == nullptr) {
        throw std::runtime_error("the controller sent a malformed frame");
    }
    if (const wire::configuration_update* update =
            envelope->body_as_configuration_update()) {
        wire::configuration_update_message whole;
        update->UnPackTo(&whole);
        traffic_.configuration_bytes += message.frame.size();
        apply_configuration(vms_[found->second], *whole.value);
    }
    else if (const wire::configuration_delta* delta =
                 envelope->body_as_configuration_delta()) {
        traffic_.configuration_bytes += message.frame.size();
        apply_delta(vms_[found->second], *delta);
    }
    else if (envelope->body_as_roster_update() != nullptr) {
        traffic_.roster_bytes += message.frame.size();
    }
}

void fleet_model::apply_configuration(vm_model& vm,
                                      const wire::configuration_message& value)
{
    vm.applied_revision = value.revision;
    vm.heartbeat_due = true;
    for (const auto& entry : value.assignments) {
        const bool own = entry->owner == vm.id.str();
        if (own && entry->phase == wire::assignment_phase::releasing) {
            vm.to_release[entry->target] = entry->fence;
        }
    }
}

void fleet_model::apply_delta(vm_model& vm, const wire::configuration_delta& delta)
{
    if (delta.base() != vm.applied_revision) {
        return;
    }
    wire::configuration_delta_message unpacked;
    delta.UnPackTo(&unpacked);
    apply_configuration(vm, *unpacked.changed);
}

void fleet_model::open_session(vm_model& vm)
{
    vm.session = next_session_++;
    by_session_[vm.session] = static_cast<std::size_t>(&vm - vms_.data());
    wire::hello_message hello;
    hello.protocol = wire::protocol_version;
    hello.sender = wire::role::entry;
    hello.id = vm.id.str();
    hello.incarnation = vm.run;
    const std::vector<std::uint8_t> frame = wire::encode_frame(std::move(hello));
    const std::vector<std::uint8_t> body(frame.begin() + wire::frame_prefix_bytes,
                                         frame.end());
    controller_.on_session_opened(vm.session,
                                  *wire::verified_envelope(body)->body_as_hello(), now());
}

void fleet_model::fill_facts(const vm_model& vm, wire::heartbeat_message& heartbeat) const
{
    for (const auto& [target, one] : state_.current().assignments) {
        if (one.owner != vm.id) {
            continue;
        }
        heartbeat.facts.push_back(fact_of(target.str()));
        if (!vm.report_facts) {
            heartbeat.facts.back()->cold = vm.cold;
            return;
        }
    }
}

void fleet_model::send_heartbeat(vm_model& vm)
{
    wire::heartbeat_message heartbeat;
    heartbeat.sequence = ++vm.sequence;
    heartbeat.applied_revision = vm.applied_revision;
    heartbeat.full_facts = true;
    if (vm.report_facts || vm.report_one_fact) {
        fill_facts(vm, heartbeat);
    }
    heartbeat.full_facts = vm.report_facts;
    vm.report_facts = false;
    vm.report_one_fact = false;
    vm.heartbeat_due = false;
    for (const auto& [target, fence] : vm.to_release) {
        auto released = std::make_unique<wire::released_target_message>();
        released->target = target;
        released->fence = fence;
        released->warm = true;
        heartbeat.released.push_back(std::move(released));
    }
    vm.to_release.clear();
    const std::vector<std::uint8_t> frame = wire::encode_frame(std::move(heartbeat));
    const std::vector<std::uint8_t> body(frame.begin() + wire::frame_prefix_bytes,
                                         frame.end());
    controller_.on_message(vm.session, *wire::verified_envelope(body), now());
}

void fleet_model::run(base::duration span)
{
    const base::instant end = time_ + span;
    const std::int64_t phases = heartbeat_interval.count() / step.count();
    while (time_ < end) {
        const std::int64_t phase = time_.count() / step.count() % phases;
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            const bool due =
                vms_[i].heartbeat_due || static_cast<std::int64_t>(i) % phases == phase;
            if (due && vms_[i].alive) {
                send_heartbeat(vms_[i]);
            }
        }
        settle();
        controller_.on_time(now());
        settle();
        time_ = time_ + step;
    }
}

bool fleet_model::all_assigned() const
{
    std::set<base::vm_id> dead;
    for (const vm_model& vm : vms_) {
        if (!vm.alive) {
            dead.insert(vm.id);
        }
    }
    const control::configuration& current = state_.current();
    if (current.assignments.size() != current.targets.size()) {
        return false;
    }
    return std::ranges::all_of(current.assignments, [&dead](const auto& entry) {
        const control::assignment& one = entry.second;
        return one.phase == control::assignment_phase::owned && !dead.contains(one.owner);
    });
}

base::duration fleet_model::run_until_assigned(base::duration limit)
{
    const base::instant start = time_;
    while (!all_assigned()) {
        if (time_ - start > limit) {
            throw std::runtime_error("targets without owner at the limit");
        }
        run(step);
    }
    // The owners report their new targets.
    for (vm_model& vm : vms_) {
        vm.report_facts = true;
    }
    return time_ - start;
}

base::duration fleet_model::run_until_settled(base::duration limit)
{
    constexpr base::duration quiet{10'000};
    const base::instant start = time_;
    base::instant last_command = time_;
    while (time_ - last_command < quiet) {
        if (time_ - start > limit) {
            throw std::runtime_error("assignments still change at the limit");
        }
        const std::uint64_t commands = traffic_.commands;
        run(step);
        if (traffic_.commands != commands) {
            last_command = time_;
        }
    }
    return last_command - start;
}

void fleet_model::stop_vm(std::size_t number)
{
    vm_model& vm = vms_.at(number);
    vm.alive = false;
    by_session_.erase(vm.session);
    controller_.on_session_closed(vm.session);
}

void fleet_model::restart_vm(std::size_t number)
{
    vm_model& vm = vms_.at(number);
    vm.alive = true;
    ++vm.run;
    vm.applied_revision = 0;
    vm.report_facts = true;
    vm.to_release.clear();
    open_session(vm);
    settle();
}

void fleet_model::fail_over()
{
    controller_.on_leadership_lost();
    controller_.on_leadership_gained(now());
    for (vm_model& vm : vms_) {
        vm.report_facts = true;
    }
}

void fleet_model::change_limit()
{
    control::encoded::intent_message value;
    value.kind = control::encoded::intent_kind::set_limit;
    value.subject = "service-0";
    changed_limit_ = !changed_limit_;
    value.slots = changed_limit_ ? 3 : 2;
    control::encoded::operator_intent_message command;
    command.intent_id = "intent-" + std::to_string(next_intent_++);
    command.operator_name = "capacity";
    command.base_revision = state_.operator_revision().value();
    command.value = std::make_unique<control::encoded::intent_message>(std::move(value));
    propose(control::encode_command(time_, std::move(command)));
    settle();
}

void fleet_model::change_fact(std::size_t number)
{
    vm_model& vm = vms_.at(number);
    vm.report_one_fact = true;
    vm.cold = !vm.cold;
}

std::size_t fleet_model::heartbeat_bytes() const
{
    wire::heartbeat_message heartbeat;
    heartbeat.sequence = 1;
    heartbeat.applied_revision = state_.current().number.value();
    heartbeat.roster_sequence = 1;
    return wire::encode_frame(std::move(heartbeat)).size();
}

} // namespace curranthoist::testing
