#pragma once

#include "curranthoist/http/caller_server_options.hpp"
#include "curranthoist/settings/entry_settings.hpp"
#include "curranthoist/wire/peer_account.hpp"

namespace curranthoist::entry {

// What one entry process may hold at once, by the memory in its settings.

[[nodiscard]] http::caller_server_options
caller_options(const settings::entry_settings& settings);

// What other VMs may hold at the relay port.
[[nodiscard]] wire::peer_account::limits
relay_limits(const settings::entry_settings& settings);

} // namespace curranthoist::entry
