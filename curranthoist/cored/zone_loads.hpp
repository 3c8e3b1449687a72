#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/instant.hpp"
#include "curranthoist/deployment/zone_answers.hpp"
#include "curranthoist/deployment/zone_share.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace curranthoist::cored {

// Decides, on the leader, which part of its queries each zone gives away and to which
// one.
//
// Load pattern: a zone's own targets are too few for its callers, or many of them are
// slow, while those of another zone have room. Traffic between zones is slower and costs
// money, so a query leaves only if that saves the caller more than the cost of leaving, a
// time.
//
// A zone's wait is the time that requests to its targets take for each success. The
// share of a zone rises while its wait exceeds that of the zone with the shortest one by
// the cost, falls while it exceeds it by less than half of that, and stays in between. It
// rises no further once the receiving zone becomes slower than it was, and falls if that
// zone has become slower by the cost. A zone that receives gives nothing away, so that no
// two zones exchange load.
class zone_loads
{
public:
    // A wait must exceed the other one for this time before anything leaves.
    static constexpr base::duration start_delay{1000};
    // How fast a share changes.
    static constexpr double max_rise_per_s = 1.0 / 8;
    static constexpr double max_fall_per_s = 1.0 / 16;
    // The rest stays, so that the zone's own wait is still known.
    static constexpr double max_share = 0.75;
    // A smaller share ends.
    static constexpr double min_share = 0.01;
    // A wait is known from so many successes within about half_life.
    static constexpr double min_successes = 10;
    static constexpr base::duration half_life{1000};
    // The usual wait of a zone follows a longer one with this half-life, so that load
    // that others give away does not count as usual soon.
    static constexpr base::duration usual_half_life{60'000};
    // Counts of a VM that has not reported for this time are dropped; if it reports again
    // they count from that on.
    static constexpr base::duration report_limit{10'000};

    struct change
    {
        deployment::zone_share share;
        double before = 0;
        // The inputs, in milliseconds.
        double wait_ms = 0;
        double other_wait_ms = 0;
        double other_usual_ms = 0;
        double cost_ms = 0;
    };

    // Takes over what a VM has seen since its start; zones that it leaves out are as it
    // reported them last. `cost` is that of the VM's zone; with 0 the zone keeps all.
    void add(const std::string& vm, const base::zone_id& vm_zone, base::duration cost,
             std::span<const deployment::zone_answers> answers, base::instant now);
    // Brings the shares up to date, and returns those that began, ended or have moved by
    // an eighth since they were returned last. Call it a few times a second.
    std::vector<change> update(base::instant now);
    // What the zone gives away; nothing if it keeps all.
    [[nodiscard]] std::optional<deployment::zone_share>
    share_of(const base::zone_id& zone) const;
    // Forgets everything, for a process that begins to lead.
    void clear() { *this = zone_loads(); }

private:
    struct vm_counts
    {
        std::map<base::zone_id, deployment::zone_answers> last;
        base::instant reported_at;
    };
    struct zone_state
    {
        // Decayed sums.
        double successes = 0;
        double time_ms = 0;
        // The shortest wait that the zone has had for long; nothing before the first one.
        std::optional<double> usual_ms;
        base::duration cost;
        // What it gives away.
        base::zone_id to;
        double share = 0;
        double returned_share = 0;
        // Since when its wait exceeds that of another zone by the cost.
        base::instant excess_since = base::instant::max();

        [[nodiscard]] std::optional<double> wait() const;
    };

    void age(base::instant now);
    void move_share(const base::zone_id& name, zone_state& zone, base::instant now,
                    double seconds);
    // The zone with the shortest wait that may receive from this one.
    [[nodiscard]] const base::zone_id* best_receiver(const base::zone_id& from) const;
    [[nodiscard]] bool receives(const base::zone_id& zone) const;

    std::map<std::string, vm_counts> vms_;
    std::map<base::zone_id, zone_state> zones_;
    base::instant updated_at_;
};

} // namespace curranthoist::cored
