#pragma once

namespace curranthoist::control {

// Safety rules that tests switch off to show that a check notices it. Programs keep the
// defaults.
struct controller_rules
{
    // Grant a lease only after a quorum confirmed the leadership.
    bool confirm_before_grant = true;
    // Treat a VM's lease as over only when it has run out.
    bool wait_for_expiry = true;
};

} // namespace curranthoist::control
