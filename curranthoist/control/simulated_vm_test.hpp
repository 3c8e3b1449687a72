#pragma once

#include "curranthoist/control/configuration.hpp"
#include "curranthoist/control/configuration_codec.hpp"
#include "curranthoist/control/configuration_delta.hpp"
#include "curranthoist/control/controller_output.hpp"
#include "curranthoist/control/lease_controller.hpp"
#include "curranthoist/wire/frame_codec.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace curranthoist::control {

// One entry process in controller tests: it follows the lease and release rules of the
// design page and says which targets it holds. Its clock runs at `rate` of real time.
class simulated_vm
{
public:
    simulated_vm(base::vm_id vm, base::incarnation run, double rate)
        : vm_(std::move(vm))
        , run_(run)
        , rate_(rate)
    {}

    // The next heartbeat, sent at `now` of real time.
    wire::heartbeat_message heartbeat(base::instant now)
    {
        wire::heartbeat_message message;
        message.sequence = ++sequence_;
        message.applied_revision = known_.number.value();
        message.full_facts = true;
        message.stopping = stopping;
        for (const auto& [target, held] : known_.assignments) {
            if (held.owner == vm_ && held.phase == assignment_phase::releasing) {
                auto released = std::make_unique<wire::released_target_message>();
                released->target = target.str();
                released->fence = held.number.value();
                released->warm = true;
                released->pace_milli_per_s = 7000;
                message.released.push_back(std::move(released));
            }
        }
        sent_[sequence_] = now;
        return message;
    }
    // A frame from the control process it is connected to.
    void receive(const std::vector<std::uint8_t>& frame)
    {
        const std::span<const std::uint8_t> all(frame);
        const wire::envelope* message =
            wire::verified_envelope(all.subspan(wire::frame_prefix_bytes));
        if (message == nullptr) {
            return;
        }
        if (const auto* reply = message->body_as_heartbeat_reply()) {
            take_reply(*reply);
        }
        if (const auto* update = message->body_as_configuration_update()) {
            const std::unique_ptr<wire::configuration_update_message> unpacked(
                update->UnPack());
            configuration value = from_message(*unpacked->value);
            if (value.number > known_.number) {
                known_ = std::move(value);
            }
        }
        if (const auto* delta = message->body_as_configuration_delta()) {
            const std::unique_ptr<wire::configuration_delta_message> unpacked(
                delta->UnPack());
            apply(known_, from_message(*unpacked));
        }
    }
    [[nodiscard]] bool has_lease(base::instant now) const { return now < lease_until_; }
    // Whether it may send to the target at `now`.
    [[nodiscard]] bool holds(const base::target_id& target, base::instant now) const
    {
        const auto held = known_.assignments.find(target);
        return has_lease(now) && held != known_.assignments.end() &&
               held->second.owner == vm_ && held->second.phase == assignment_phase::owned;
    }
    // Whether it starts new requests at the target at `now`.
    [[nodiscard]] bool starts_work_at(const base::target_id& target,
                                      base::instant now) const
    {
        return holds(target, now) && known_.targets.at(target).in_service;
    }
    [[nodiscard]] const base::vm_id& vm() const { return vm_; }
    [[nodiscard]] base::incarnation run() const { return run_; }
    [[nodiscard]] const configuration& known() const { return known_; }

    bool stopping = false;
    bool refused = false;

private:
    void take_reply(const wire::heartbeat_reply& reply)
    {
        refused = !reply.granted();
        const auto sent = sent_.find(reply.sequence());
        if (reply.granted() && sent != sent_.end()) {
            const auto length = static_cast<std::int64_t>(
                static_cast<double>(lease_controller::lease_length.count()) / rate_);
            lease_until_ = std::max(lease_until_, sent->second + base::duration(length));
        }
        sent_.erase(sent_.begin(), sent_.upper_bound(reply.sequence()));
    }

    base::vm_id vm_;
    base::incarnation run_;
    double rate_;
    std::uint64_t sequence_ = 0;
    std::map<std::uint64_t, base::instant> sent_;
    base::instant lease_until_;
    configuration known_;
};

} // namespace curranthoist::control
