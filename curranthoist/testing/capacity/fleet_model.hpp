#pragma once

#include "curranthoist/base/duration.hpp"
#include "curranthoist/control/cluster_state.hpp"
#include "curranthoist/control/controller.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace curranthoist::testing {

// Sizes of a modelled deployment.
struct fleet_size
{
    std::size_t vms = 0;
    std::size_t targets = 0;
    std::size_t zones = 4;
};

// What the control leader sent since the last reset, in bytes and messages over all VMs.
struct control_traffic
{
    std::uint64_t bytes = 0;
    std::uint64_t messages = 0;
    std::uint64_t commands = 0;
    std::uint64_t command_bytes = 0;
    // Parts of `bytes`.
    std::uint64_t configuration_bytes = 0;
    std::uint64_t roster_bytes = 0;
};

// The control leader's pure code with its state, driven by VMs that send heartbeats every
// 500 ms and after each applied revision, apply what they receive at once and release
// what they are told to. There is no network and no log: every command is committed at
// once and every quorum round succeeds.
// It serves to measure processor time and bytes at a size, not to judge correctness.
class fleet_model
{
public:
    explicit fleet_model(const fleet_size& size);

    // Runs the heartbeats of `span` of model time.
    void run(base::duration span);
    // Runs until every target has an owner that may send. Returns the model time that it
    // took. Throws std::runtime_error if it takes over `limit`.
    base::duration run_until_assigned(base::duration limit);
    // Runs until the leader has proposed nothing for 10 s. Returns the model time that it
    // took. Throws std::runtime_error if it takes over `limit`.
    base::duration run_until_settled(base::duration limit);
    // The VM sends no heartbeats from here on.
    void stop_vm(std::size_t number);
    // The VM comes back as a new process.
    void restart_vm(std::size_t number);
    // Another leader is elected and the VMs report all their facts to it.
    void fail_over();
    // Applies an operator's change of one service's limits.
    void change_limit();
    // The VM's next heartbeat reports that one of its targets turned cold or warm.
    void change_fact(std::size_t number);

    // Model time.
    [[nodiscard]] base::instant time() const { return time_; }
    [[nodiscard]] const control::cluster_state& state() const { return state_; }
    [[nodiscard]] const control::controller& leader() const { return controller_; }
    [[nodiscard]] const control_traffic& traffic() const { return traffic_; }
    void reset_traffic() { traffic_ = {}; }
    // One VM's heartbeat without changes, in bytes with its frame prefix.
    [[nodiscard]] std::size_t heartbeat_bytes() const;

private:
    static constexpr base::duration step{100};
    static constexpr base::duration heartbeat_interval{500};

    struct vm_model
    {
        base::vm_id id;
        bool alive = true;
        std::uint64_t run = 1;
        control::session_number session = 0;
        std::uint64_t sequence = 0;
        std::uint64_t applied_revision = 0;
        bool report_facts = true;
        bool report_one_fact = false;
        // A revision was applied, which the VM reports soon.
        bool heartbeat_due = false;
        bool cold = false;
        // Targets that this VM owned and was told to let go.
        std::map<std::string, std::uint64_t> to_release;
    };

    [[nodiscard]] control::event_time now() const;
    void declare(const fleet_size& size);
    void propose(std::vector<std::uint8_t> command);
    void settle();
    void deliver(const control::session_message& message);
    void apply_configuration(vm_model& vm, const wire::configuration_message& value);
    void apply_delta(vm_model& vm, const wire::configuration_delta& delta);
    void open_session(vm_model& vm);
    void fill_facts(const vm_model& vm, wire::heartbeat_message& heartbeat) const;
    void send_heartbeat(vm_model& vm);
    [[nodiscard]] bool all_assigned() const;

    control::cluster_state state_;
    control::controller controller_;
    base::instant time_{1'000'000};
    std::vector<vm_model> vms_;
    std::map<control::session_number, std::size_t> by_session_;
    control::session_number next_session_ = 1;
    std::uint64_t next_intent_ = 1;
    bool changed_limit_ = false;
    control_traffic traffic_;
};

} // namespace curranthoist::testing
