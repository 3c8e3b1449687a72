#include "curranthoist/execution/order_attempt.hpp"

namespace curranthoist::execution {

template class order_attempt<routing::configured_choice, routing::configured_hedging,
                             retry_certain_not_run_only>;

} // namespace curranthoist::execution
