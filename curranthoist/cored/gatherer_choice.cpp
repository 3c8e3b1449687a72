#include "curranthoist/cored/gatherer_choice.hpp"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

namespace curranthoist::cored {

void gatherer_choice::update(std::span<const candidate> candidates, base::instant now)
{
    if (now - begun_ < settle_time) {
        return;
    }
    has_chosen_ = true;
    std::vector<const candidate*> usable;
    for (const candidate& one : candidates) {
        if (!one.stopping && now - one.last_report < report_limit) {
            usable.push_back(&one);
        }
    }
    std::vector<deployment::gatherer> next;
    const double needed =
        static_cast<double>(min_fronts_) * (chosen_.empty() ? 1.0 : kept_part_of_fronts);
    if (min_fronts_ > 0 && static_cast<double>(usable.size()) >= needed) {
        // Those that gather already come first, then an order that all leaders share.
        const auto rank = [this](const candidate& one) {
            const bool gathers =
                std::find(chosen_.begin(), chosen_.end(), one.gatherer) != chosen_.end();
            return std::pair(!gathers, std::hash<std::string>()(one.gatherer.name.str()));
        };
        std::stable_sort(usable.begin(), usable.end(), [&](const auto* a, const auto* b) {
            return rank(*a) < rank(*b);
        });
        std::map<base::zone_id, std::size_t> in_zone;
        for (const candidate* one : usable) {
            const bool may_gather = !rank(*one).first || now - one->since >= min_age;
            if (may_gather && in_zone[one->gatherer.zone] < gatherers_per_zone) {
                ++in_zone[one->gatherer.zone];
                next.push_back(one->gatherer);
            }
        }
        std::sort(next.begin(), next.end(),
                  [](const auto& a, const auto& b) { return a.name < b.name; });
    }
    if (next != chosen_) {
        chosen_ = std::move(next);
        ++number_;
    }
}

} // namespace curranthoist::cored
