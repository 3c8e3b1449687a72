#include "curranthoist/consensus/replica.hpp"

namespace curranthoist::consensus {

storage::log_entry first_log_entry(const membership& initial)
{
    return {base::term(1), base::log_index(1), storage::entry_kind::membership,
            initial.encode()};
}

template class basic_replica<replica_rules>;

} // namespace curranthoist::consensus
