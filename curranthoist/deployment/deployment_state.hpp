#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/wire/frame_codec.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace curranthoist::deployment {

// What operators have ordered: the newest configuration, kept as the bytes that were
// sent, and the zones under evacuation. It is the state machine of the replicated log, so
// apply() depends on nothing but the commands.
class deployment_state
{
public:
    using change_handler = std::function<void()>;

    // Encodes commands for the log.
    [[nodiscard]] static std::vector<std::uint8_t>
    replace_configuration(std::uint64_t version, std::string_view document);
    [[nodiscard]] static std::vector<std::uint8_t>
    change_evacuation(const base::zone_id& zone, bool start);

    // Called after each applied command and after restore().
    void set_change_handler(change_handler handler) { on_change_ = std::move(handler); }

    // A configuration takes effect only if its version is above the current one. A
    // command that can't be read changes nothing, on every member alike.
    void apply(base::log_index index, std::span<const std::uint8_t> command);
    [[nodiscard]] std::vector<std::uint8_t> snapshot() const;
    // Throws base::findings_error if `bytes` hold no snapshot.
    void restore(std::span<const std::uint8_t> bytes);

    // The position of the last command that changed the state.
    [[nodiscard]] base::log_index changed_at() const { return changed_at_; }
    // 0 if there is no configuration yet.
    [[nodiscard]] std::uint64_t version() const { return version_; }
    // The configuration as it was sent. Unpacks it each time.
    [[nodiscard]] std::string document() const;
    [[nodiscard]] const std::set<base::zone_id>& evacuated() const { return evacuated_; }
    // The whole state as a message for other processes.
    [[nodiscard]] wire::deployment_snapshot_message message() const;

private:
    base::log_index changed_at_;
    std::uint64_t version_ = 0;
    // See wire::pack_text().
    std::vector<std::uint8_t> packed_document_;
    std::set<base::zone_id> evacuated_;
    change_handler on_change_;
};

} // namespace curranthoist::deployment
