#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/deployment/gatherer.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace curranthoist::cored {

// Chooses the front processes that gather parts of queries for the others, on the leader.
//
// Load pattern: dozens or hundreds of small VMs, each with a query in several seconds
// that goes to every shard. If each of them sends to all targets itself, a target has
// more callers than it accepts connections, most parts pay for a new connection, and one
// VM's processor handles all parts of a query.
//
// The choice changes only when a gatherer is lost or a zone lacks one, because its
// connections and what it knows of the targets are what makes it useful. Leaders prefer
// the same processes, so that most stay when the leader changes.
class gatherer_choice
{
public:
    // Once gatherers are chosen, they stay until fewer than this part of the necessary
    // front processes are left.
    static constexpr double kept_part_of_fronts = 0.8;
    // Gatherers in each zone. A lost one takes a small part of a query's shards with it.
    static constexpr std::size_t gatherers_per_zone = 8;
    // A front process gathers only after it has been there for this time, and has read
    // the list and made its connections.
    static constexpr base::duration min_age{1000};
    // A new leader chooses after this time: until then it does not know who is alive.
    static constexpr base::duration settle_time{800};
    // A gatherer that has not reported for this time is replaced; it reports each 0.4 s.
    static constexpr base::duration report_limit{1000};

    // A front process as the leader knows it.
    struct candidate
    {
        deployment::gatherer gatherer;
        base::instant since;
        base::instant last_report;
        bool stopping = false;
    };

    // Chooses none while there are fewer than `min_fronts` front processes, or if that is
    // 0. `first_number` must differ from that of an earlier leader, and `begun` is when
    // this one took over.
    gatherer_choice(std::size_t min_fronts, std::uint64_t first_number,
                    base::instant begun)
        : min_fronts_(min_fronts)
        , number_(first_number)
        , begun_(begun)
    {}

    // Brings the choice up to date with the live front processes.
    void update(std::span<const candidate> candidates, base::instant now);

    // The chosen ones, in the order of their names, and the number of this choice.
    [[nodiscard]] const std::vector<deployment::gatherer>& chosen() const
    {
        return chosen_;
    }
    [[nodiscard]] std::uint64_t number() const { return number_; }
    // False until the leader has chosen for the first time; the choice of the one before
    // holds until then.
    [[nodiscard]] bool has_chosen() const { return has_chosen_; }

private:
    std::size_t min_fronts_;
    std::vector<deployment::gatherer> chosen_;
    std::uint64_t number_;
    base::instant begun_;
    bool has_chosen_ = false;
};

} // namespace curranthoist::cored
