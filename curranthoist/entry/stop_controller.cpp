#include "curranthoist/entry/stop_controller.hpp"

namespace curranthoist::entry {

void stop_controller::begin(base::instant now)
{
    if (phase_ == stop_phase::serving) {
        phase_ = stop_phase::leaving;
        begun_ = now;
    }
}

void stop_controller::on_time(base::instant now, std::size_t running, std::size_t owned)
{
    if (phase_ == stop_phase::serving || phase_ == stop_phase::finished) {
        return;
    }
    if (phase_ == stop_phase::leaving && now >= begun_ + balancer_delay_) {
        phase_ = stop_phase::finishing;
    }
    if (phase_ == stop_phase::finishing && running == 0) {
        phase_ = stop_phase::releasing;
    }
    if (phase_ == stop_phase::releasing && running == 0 && owned == 0) {
        phase_ = stop_phase::finished;
        return;
    }
    if (now >= begun_ + stop_limit_) {
        phase_ = stop_phase::overdue;
    }
}

} // namespace curranthoist::entry
