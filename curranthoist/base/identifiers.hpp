#pragma once

#include "curranthoist/base/identifier.hpp"
#include "curranthoist/base/number.hpp"

namespace curranthoist::base {

// An entry VM's name, unique in the deployment.
using vm_id = identifier<struct vm_tag>;
// An availability zone's name.
using zone_id = identifier<struct zone_tag>;
// A query or order service's name.
using service_id = identifier<struct service_tag>;
// A back end's name, unique in the deployment.
using target_id = identifier<struct target_tag>;
// A caller's id for one request; the same id means the same request.
using request_id = identifier<struct request_tag>;
// An operator's id for one intent; the same id means the same intent.
using intent_id = identifier<struct intent_tag>;
// A control process's identity in the replicated log; a lost disk ends it.
using member_id = identifier<struct member_tag>;
// A target's own name for one run of its process.
using boot_id = identifier<struct boot_tag>;

// The number of a committed configuration; each change raises it.
using revision = number<struct revision_tag>;
// A leader's term in the replicated log.
using term = number<struct term_tag>;
// A position in the replicated log, from 1.
using log_index = number<struct log_index_tag>;
// The version of an index snapshot that targets hold.
using snapshot_version = number<struct snapshot_version_tag>;
// The number of one ownership of a target; a later owner has a higher one.
using fence = number<struct fence_tag>;
// A shard's place in one snapshot's map, from 0.
using shard_number = number<struct shard_tag>;
// The number of one run of an entry process; a restart has a higher one.
using incarnation = number<struct incarnation_tag>;

} // namespace curranthoist::base
