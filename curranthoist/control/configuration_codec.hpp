#pragma once

#include "curranthoist/wire/generated/messages_generated.h"

namespace curranthoist::control {

struct configuration;
struct configuration_delta;

// The form of a configuration that is sent to entry VMs and kept in log snapshots.
wire::configuration_message to_message(const configuration& value);

// The reverse. Throws base::findings_error that names every entry with an empty
// identifier or an address that can't be read.
configuration from_message(const wire::configuration_message& message);

// The form of a delta that is sent to entry VMs.
wire::configuration_delta_message to_message(const configuration_delta& delta);

// The reverse. Throws base::findings_error as above, and if there is no changed part.
configuration_delta from_message(const wire::configuration_delta_message& message);

} // namespace curranthoist::control
