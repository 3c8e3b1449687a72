#pragma once

#include "curranthoist/wire/generated/messages_generated.h"

namespace curranthoist::control {

struct configuration;

// The form of a configuration that is sent to entry VMs and kept in log snapshots.
wire::configuration_message to_message(const configuration& value);

// The reverse. Throws base::findings_error that names every entry with an empty
// identifier or an address that can't be read.
configuration from_message(const wire::configuration_message& message);

} // namespace curranthoist::control
