#pragma once

#include "curranthoist/control/generated/commands_generated.h"

#include <string>

namespace curranthoist::control {

// What an operator wants. The same type is stored in the replicated log.
using intent = encoded::intent_message;
using intent_kind = encoded::intent_kind;

// The kind's name in JSON, such as "zone_out".
std::string intent_name(intent_kind kind);

// The JSON field that names what an intent of that kind is about, such as "zone".
std::string subject_field(intent_kind kind);

// A fixed-length digest of the content (XXH3, 128 bits, in hexadecimal). Two intents with
// the same digest are the same intent.
std::string intent_digest(const intent& value);

} // namespace curranthoist::control
