#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/deployment/listed_target.hpp"
#include "curranthoist/deployment/listing_change.hpp"
#include "curranthoist/deployment/target_sample.hpp"
#include "curranthoist/forwarding/response_kind.hpp"
#include "curranthoist/forwarding/target_estimate.hpp"
#include "curranthoist/forwarding/target_notice.hpp"
#include "curranthoist/forwarding/version_rules.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace curranthoist::forwarding {

// One VM's view of the targets: which targets may be used now, and which target of a
// service to choose.
//
// The list says which targets exist, drain or are cold, and lags behind. What this VM
// observes of a target can only take work away from it. A target that could not be
// reached, or that said that it is leaving, is used again only after its health endpoint
// has responded, because it may have restarted cold under its old id. A newer list does
// not undo what a target said of itself, since the list lags.
class target_directory
{
public:
    struct options
    {
        base::zone_id own_zone;
        // Name of this VM. It makes each VM prefer a different one of several equal
        // targets.
        std::string own_name = {};
        // Maximum time by which the list lags behind.
        base::duration list_lag{1000};
        base::duration share_lifetime = version_share::max_lifetime;
        base::duration contact_limit = version_rules::default_contact_limit;
        // Whether a version that joins a service waits for an order that names it.
        bool holds_joining_versions = true;
        // The wait that a caller accepts for a request that stays in the zone.
        base::duration zone_cost{0};
    };
    // Counts of the reasons why no target of a service can be chosen, for log lines.
    struct shortage
    {
        std::size_t listed = 0;
        std::size_t draining = 0;
        std::size_t cold = 0;
        std::size_t evacuated = 0;
        std::size_t unreachable = 0;
        std::size_t leaving = 0;
        std::size_t paused = 0;
        // Of a version that may get nothing.
        std::size_t excluded = 0;

        [[nodiscard]] std::string text() const;
    };

    explicit target_directory(options directory_options)
        : options_(std::move(directory_options))
        , versions_(options_.own_name, options_.share_lifetime, options_.contact_limit,
                    options_.holds_joining_versions)
    {}

    // Applies a change of the list. Returns the targets that are no longer listed.
    std::vector<base::target_id> apply(const deployment::listing_change& change);
    // Records that a reading of the list that began at `read_at` found the same targets.
    void confirm_listing(base::instant read_at);
    // Sets the evacuated zones, whose targets get no requests. After a zone is restored
    // its targets are used once a later reading of the list tells whether they are cold.
    void set_evacuated(std::set<base::zone_id> zones, base::instant now);

    // What the roll-outs allow; requests follow it.
    [[nodiscard]] version_rules& versions() { return versions_; }

    // Returns the best usable target of a service that is not in `excluded`, or null if
    // there is none. The directory owns the target.
    [[nodiscard]] const deployment::listed_target*
    choose(const base::service_id& service, std::span<const base::target_id> excluded,
           base::instant now) const;
    // Returns true if the target is listed and may get requests now.
    [[nodiscard]] bool is_usable(const base::target_id& id, base::instant now) const;
    // Returns true if this VM has a connection to a usable target of the service that no
    // request holds.
    [[nodiscard]] bool has_free_connection(const base::service_id& service,
                                           base::instant now) const;
    // Returns the zones of the service's usable targets, a zone as often as it has one.
    // The directory owns them.
    [[nodiscard]] std::vector<const base::zone_id*>
    usable_zones(const base::service_id& service, base::instant now) const;
    // The same without the targets that do badly for the VMs together, unless all do.
    [[nodiscard]] std::vector<const base::zone_id*>
    preferred_zones(const base::service_id& service, base::instant now) const;
    [[nodiscard]] const base::zone_id& own_zone() const { return options_.own_zone; }
    [[nodiscard]] shortage explain(const base::service_id& service,
                                   base::instant now) const;
    [[nodiscard]] const deployment::listed_target* find(const base::target_id& id) const;
    // Returns the number of listed targets.
    [[nodiscard]] std::size_t size() const { return targets_.size(); }
    [[nodiscard]] bool has_listing() const { return has_listing_; }
    [[nodiscard]] base::instant read_at() const { return read_at_; }

    // Returns the answers of the versions in running roll-outs, and the requests that
    // wait for one.
    [[nodiscard]] std::vector<deployment::version_answers> answers_by_version() const;

    // Record that a request was sent to the target and how it ended. `expected_latency`
    // is the usual latency of such a request, or 0 if it is not known; `latency` is the
    // elapsed time of this request.
    void on_sent(const base::target_id& id, base::duration expected_latency,
                 base::instant now);
    void on_answer(const base::target_id& id, response_kind kind, base::duration latency,
                   base::duration expected_latency, base::instant now);

    // Records what a target said of itself in any answer. Returns true if that keeps it
    // from requests which it would have got before.
    bool on_notice(const base::target_id& id, const target_notice& notice,
                   base::instant now);
    // Returns the time until the first of the service's targets that want a pause takes
    // requests again, or nothing if none of them wants a pause.
    [[nodiscard]] std::optional<base::duration>
    shortest_pause(const base::service_id& service, base::instant now) const;

    // Returns the targets to preconnect to now, at most `max_count`: one for each of the
    // services that has no free idle connection. Each call checks a part of the services
    // in turn. A target that closed a preconnection at once, which indicates that it has
    // too many connections, is skipped for a while.
    std::vector<base::target_id>
    due_preconnections(std::span<const base::service_id> services, std::size_t max_count,
                       base::instant now);
    // Sets the number of this VM's open connections to the target.
    void set_connections(const base::target_id& id, std::size_t count, base::instant now);

    // Returns true if this VM sends to the service so rarely that it cannot judge the
    // targets of the service by itself.
    [[nodiscard]] bool is_rarely_used(const base::service_id& service) const;
    // Sets the targets that perform badly for other VMs. A suspect is avoided if the
    // service has another usable target.
    void set_suspects(std::set<base::target_id> suspects)
    {
        suspects_ = std::move(suspects);
    }
    // Sets the number of VMs that report samples. Beyond a hundred VMs each one reports
    // only a part of its samples.
    void set_vm_count(std::size_t count);
    // Returns and clears the samples of the targets of rarely used services since the
    // last call.
    std::vector<deployment::target_sample> take_samples();

    // Returns the unreachable targets whose health must be probed now. Each target is
    // returned once per probe.
    std::vector<base::target_id> due_probes(base::instant now);
    // Records that the health endpoint of a target responded with the identity of that
    // target. The target stays cold for `remaining_cold_time`.
    void on_healthy(const base::target_id& id, base::duration remaining_cold_time,
                    base::instant now);

private:
    struct target_state
    {
        deployment::listed_target listed;
        base::instant cold_until;
        target_estimate estimate;
        // Among equal targets the one with the lowest rank is preferred.
        std::size_t rank = 0;
        std::size_t connections = 0;
        // Time of the last preconnection, time before which the target is not
        // preconnected, and the last delay between the two.
        base::instant preconnected_at;
        base::instant preconnect_retry_at;
        base::duration preconnect_retry_delay;
        // The target said that it is leaving. Implies `unreachable`.
        bool leaving = false;
        // The target wants no requests from this VM before.
        base::instant paused_until;
        bool unreachable = false;
        base::instant probe_at;
        base::duration probe_delay;
    };

    // What a target that is no longer listed said of itself.
    struct retained_notice
    {
        base::endpoint address;
        bool leaving = false;
        base::instant paused_until;
        base::instant expires_at;
    };

    struct service_state
    {
        // The pointers are valid as long as the targets are listed.
        std::vector<target_state*> targets;
        base::instant last_sent_at;
        double smoothed_interval_ms = 0;
        // The usual latency of the last request; 0 if that is not known.
        base::duration expected_latency;

        void on_sent(base::duration latency, base::instant now);
        // Returns the half-life with which observations of the targets decay.
        [[nodiscard]] base::duration half_life() const;
    };

    void add(const deployment::listed_target& target,
             const deployment::listing_change& change);
    void record_sample(const target_state& target, response_kind kind,
                       base::duration latency, base::duration expected_latency);
    void remove(const base::target_id& id);
    // Keeps what a target said of itself while it is not listed: a reading of several
    // pages can miss a target that the next one lists again.
    void retain_notice(const base::target_id& id, base::instant now);
    void restore_notice(target_state& target, base::instant now);
    [[nodiscard]] bool is_usable(const target_state& target, base::instant now) const;
    // The same, whatever the roll-outs allow.
    [[nodiscard]] bool is_sound(const target_state& target, base::instant now) const;
    // Returns true if a roll-out of the service may have completed unheard, and no target
    // that it allows is sound.
    [[nodiscard]] bool needs_substitute(const base::service_id& service,
                                        base::instant now) const;
    [[nodiscard]] bool has_free_connection(const target_state& target) const
    {
        // Each request without a response holds a connection of its own.
        return target.connections > target.estimate.outstanding();
    }
    [[nodiscard]] double selection_cost(const target_state& target,
                                        base::duration half_life, double zone_cost,
                                        base::instant now) const;
    // What is added to the cost of targets of other zones.
    [[nodiscard]] double zone_cost(const service_state& service) const;
    // Keeps the target from requests until its health is known; the first probe follows
    // after `probe_delay`.
    void mark_unreachable(target_state& target, base::duration probe_delay,
                          base::instant now);

    options options_;
    version_rules versions_;
    bool has_listing_ = false;
    base::instant read_at_;
    std::map<base::target_id, target_state> targets_;
    std::map<base::service_id, service_state> services_;
    // Targets that are marked unreachable.
    std::set<base::target_id> unreachable_targets_;
    std::map<base::target_id, retained_notice> retained_notices_;
    std::set<base::target_id> suspects_;
    std::map<base::target_id, deployment::target_sample> samples_;
    // One of this many responses becomes a sample.
    std::size_t responses_per_sample_ = 1;
    std::size_t responses_since_sample_ = 0;
    // Index of the service at which the next call of due_preconnections() starts.
    std::size_t next_service_index_ = 0;
    std::set<base::zone_id> evacuated_;
    // Time at which each zone was last restored after an evacuation.
    std::map<base::zone_id, base::instant> zone_restored_at_;
};

} // namespace curranthoist::forwarding
