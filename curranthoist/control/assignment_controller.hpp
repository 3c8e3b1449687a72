#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/instant.hpp"
#include "curranthoist/control/generated/commands_generated.h"
#include "curranthoist/control/vm_loads.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace curranthoist::control {

class roster;
struct configuration;

// Decides which VM owns each target. Pure; runs on the leader.
//
// Rules, in order: a target that can't be served (out of service itself or by its zone)
// is released and not assigned again; an owner that may own nothing gives its targets up;
// targets of one shard go to different VMs where the roster knows their shards; loads
// differ by balance_tolerance at most; the target's own zone is preferred. Everything
// else stays where it is.
class assignment_controller
{
public:
    // The loads (number of targets) of two VMs may differ by this much.
    static constexpr std::size_t balance_tolerance = 2;
    // Targets are moved for balance or for shards only after the set of usable VMs has
    // been the same for this long, so that a VM that restarts causes no moves.
    static constexpr base::duration settle_time{5000};
    // Such moves in progress at once.
    static constexpr std::size_t max_moves = 8;
    // Changes in one command, which bounds its size.
    static constexpr std::size_t max_changes = 500;

    // What the controller knows about one VM.
    struct vm_view
    {
        // It may become an owner.
        bool usable = false;
        // It may stay an owner for now: it is alive, or it is not known to be dead.
        bool may_keep = false;
        // It has an open process, which ends a releasing assignment by its own report.
        bool open = false;

        bool operator==(const vm_view&) const = default;
    };
    // A released target as its owner reported it.
    struct release_report
    {
        base::fence number;
        bool warm = false;
        std::uint64_t pace_milli_per_s = 0;
    };
    struct inputs
    {
        const configuration& current;
        const roster& facts;
        const std::map<base::vm_id, vm_view>& vms;
        base::instant now;
        // Some VMs have not had the time to connect: new targets wait for them.
        bool vms_expected = false;
    };

    // The owner of `target` reported that it let go of the ownership `number`.
    void on_released(const base::target_id& target, const release_report& report);
    // The next changes, in order; each has its reason. Empty if nothing is to be done.
    std::vector<std::unique_ptr<encoded::assignment_change_message>>
    step(const inputs& now);
    // When the set of usable VMs will have been the same for settle_time: a step then may
    // make moves that it does not make earlier.
    [[nodiscard]] base::instant settles_at() const { return usable_since_ + settle_time; }
    void clear();

private:
    using change = encoded::assignment_change_message;
    using shard_key = vm_loads::shard_key;

    void count(const inputs& now);
    void step_target(const inputs& now, const base::target_id& target);
    void step_releasing(const inputs& now, const base::target_id& target);
    void release(const inputs& now, const base::target_id& target,
                 const std::string& reason);
    void own(const inputs& now, const base::target_id& target, const std::string& reason);
    void remove(const inputs& now, const base::target_id& target);
    void move_for_shards(const inputs& now);
    void move_for_balance(const inputs& now);
    void note_usable_vms(const inputs& now);
    void drop_old_reports(const inputs& now);
    [[nodiscard]] bool may_move(const inputs& now) const;
    [[nodiscard]] bool is_servable(const inputs& now,
                                   const base::target_id& target) const;
    [[nodiscard]] std::optional<base::vm_id> best_vm(const inputs& now,
                                                     const base::target_id& target) const;
    [[nodiscard]] std::optional<shard_key> shard_of(const inputs& now,
                                                    const base::target_id& target) const;

    std::map<base::target_id, release_report> released_;
    std::set<base::vm_id> usable_;
    base::instant usable_since_;
    // Filled anew in each step.
    vm_loads loads_{balance_tolerance};
    std::set<shard_key> moving_shards_;
    std::vector<std::unique_ptr<change>> changes_;
};

} // namespace curranthoist::control
