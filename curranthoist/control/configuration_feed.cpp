#include "curranthoist/control/configuration_feed.hpp"

#include "curranthoist/control/configuration_codec.hpp"
#include "curranthoist/control/configuration_delta.hpp"
#include "curranthoist/wire/frame_codec.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace curranthoist::control {

void configuration_feed::reset(const configuration& current)
{
    value_ = current;
    steps_.clear();
    whole_.clear();
}

void configuration_feed::advance(const configuration& current)
{
    if (current.number == value_.number) {
        return;
    }
    const configuration_delta delta = diff(value_, current);
    steps_.push_back({value_.number, wire::encode_frame(to_message(delta))});
    if (steps_.size() > max_deltas) {
        steps_.pop_front();
    }
    apply(value_, delta);
    whole_.clear();
}

std::vector<configuration_feed::frame>
configuration_feed::frames_from(base::revision applied)
{
    std::vector<frame> frames;
    if (applied == value_.number) {
        return frames;
    }
    auto next = std::find_if(steps_.begin(), steps_.end(),
                             [applied](const step& one) { return one.base == applied; });
    for (; next != steps_.end(); ++next) {
        frames.push_back(next->delta);
    }
    if (frames.empty()) {
        if (whole_.empty()) {
            wire::configuration_update_message update;
            update.value =
                std::make_unique<wire::configuration_message>(to_message(value_));
            whole_ = wire::encode_frame(std::move(update));
        }
        frames.push_back(whole_);
    }
    return frames;
}

} // namespace curranthoist::control
