#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/deployment/rollout.hpp"
#include "curranthoist/wire/frame_codec.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace curranthoist::deployment {

// The state that operators set: the newest configuration, stored as the bytes that were
// sent, the zones under evacuation, and the newest roll-out of each service. This class
// is the state machine of the replicated log, so the result of apply() depends only on
// the commands.
class deployment_state
{
public:
    using change_handler = std::function<void()>;

    // Each function encodes a command for the log as a frame of the wire protocol.
    [[nodiscard]] static std::vector<std::uint8_t>
    replace_configuration(std::uint64_t version, std::string_view document);
    [[nodiscard]] static std::vector<std::uint8_t>
    change_evacuation(const base::zone_id& zone, bool start);
    // `order` has the service, both versions, the duration and the time of the order.
    [[nodiscard]] static std::vector<std::uint8_t> start_rollout(const rollout& order);
    // Ends the running roll-out `order` in the phase `end`.
    [[nodiscard]] static std::vector<std::uint8_t> end_rollout(const rollout& order,
                                                               rollout_phase end);

    // Sets the handler that is called after each command that apply() accepts and after
    // restore().
    void set_change_handler(change_handler handler) { on_change_ = std::move(handler); }

    // Applies the command at `index` of the log. A configuration takes effect only if its
    // version is higher than the current one, the start of a roll-out only if none of the
    // service runs and its newest one is to another version, and the end of a roll-out
    // only for the one that runs. A command that can't be decoded changes
    // nothing, on every member alike.
    void apply(base::log_index index, std::span<const std::uint8_t> command);
    [[nodiscard]] std::vector<std::uint8_t> snapshot() const;
    // Replaces the state by that of a snapshot. Throws base::findings_error if `bytes`
    // contain no valid snapshot; the state is then unchanged.
    void restore(std::span<const std::uint8_t> bytes);

    // The log index of the last command that changed the state.
    [[nodiscard]] base::log_index changed_at() const { return changed_at_; }
    // The version of the configuration; 0 if there is no configuration yet.
    [[nodiscard]] std::uint64_t version() const { return version_; }
    // The configuration document as it was sent; empty if there is none or if it can't be
    // unpacked. Every call unpacks the document again.
    [[nodiscard]] std::string document() const;
    [[nodiscard]] const std::set<base::zone_id>& evacuated() const { return evacuated_; }
    // The newest roll-out of each service.
    [[nodiscard]] const std::map<base::service_id, rollout>& rollouts() const
    {
        return rollouts_;
    }
    // The complete state as a message for other processes.
    [[nodiscard]] wire::deployment_snapshot_message message() const;

private:
    // Returns false if the command changes nothing.
    bool execute(const wire::deployment_command& command);
    bool start(rollout order);
    bool end(const rollout& order);

    base::log_index changed_at_;
    std::uint64_t version_ = 0;
    // The configuration document in the form that wire::pack_text() returns.
    std::vector<std::uint8_t> packed_document_;
    std::set<base::zone_id> evacuated_;
    std::map<base::service_id, rollout> rollouts_;
    change_handler on_change_;
};

} // namespace curranthoist::deployment
