#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/deployment/target_sample.hpp"

#include <map>
#include <span>
#include <vector>

namespace curranthoist::cored {

// Finds the targets that do badly for all VMs together. Where each VM sends to a target
// once in a few seconds, none of them learns fast enough by itself; a pause of a target,
// in turn, is over before others hear of it and makes no suspect.
class suspect_targets
{
public:
    // What a VM reported.
    void add(std::span<const deployment::target_sample> samples, base::instant now);
    // The targets to avoid now, in the order of their ids. A target that gets no requests
    // is dropped after a few seconds, so that it is tried again.
    std::vector<base::target_id> at(base::instant now);

private:
    // Counts that are halved once in a half-life.
    struct evidence
    {
        double answers = 0;
        double bad = 0;
        base::instant at;

        void age(base::instant now);
    };

    std::map<base::target_id, evidence> evidence_;
};

} // namespace curranthoist::cored
