#include "curranthoist/admission/target_admission.hpp"

namespace curranthoist::admission {

template class target_admission<configured_limits, configured_warmup>;

} // namespace curranthoist::admission
