#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/deployment/rollout.hpp"
#include "curranthoist/deployment/rollout_share.hpp"
#include "curranthoist/deployment/version_answers.hpp"
#include "curranthoist/forwarding/response_kind.hpp"
#include "curranthoist/forwarding/version_share.hpp"

#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace curranthoist::forwarding {

// What the roll-outs allow on one VM: which versions of a service may get requests, and
// what the answers of each version are counted as. Without roll-outs every version may.
class version_rules
{
public:
    // An order is committed or refused within this time, unless the core has no leader.
    static constexpr base::duration join_hold{2000};
    static constexpr base::duration default_contact_limit{5000};

    // `share_lifetime` is how long a share is in force without a newer one. A VM that has
    // not heard the leader for `contact_limit` is out of touch. Without
    // `holds_joining_versions`, versions that no order names are used at once.
    explicit version_rules(std::string own_name,
                           base::duration share_lifetime = version_share::max_lifetime,
                           base::duration contact_limit = default_contact_limit,
                           bool holds_joining_versions = true)
        : own_name_(std::move(own_name))
        , share_lifetime_(share_lifetime)
        , contact_limit_(contact_limit)
        , holds_joining_versions_(holds_joining_versions)
    {}

    // Sets the newest roll-out of each service, by the state of `index`.
    void set_rollouts(std::span<const deployment::rollout> rollouts,
                      base::log_index index);
    // Records a listed target's version. One that joins a service with targets of another
    // version, and that no known order names, is held back: until the state that the
    // list's reader knew is known, and for `join_hold` from the reading, as its order may
    // be committed after its targets are listed. The versions of a service's first
    // reading are established.
    void on_listed(const base::service_id& service, const std::string& version,
                   base::instant read_at, base::log_index state_index);
    // Records that the service has no listed target of the version any longer.
    void on_unlisted(const base::service_id& service, const std::string& version);
    // Sets the shares that the leader named at `named_at` or later. A running roll-out
    // that it did not name gets nothing.
    void set_shares(std::span<const deployment::rollout_share> shares,
                    base::instant named_at);

    // Returns true if targets of this version may get requests at all now.
    [[nodiscard]] bool is_allowed(const base::service_id& service,
                                  const std::string& version, base::instant now) const;
    // Returns true if targets of the ordered version may replace those of other versions
    // that have failed: this VM is out of touch, so that the roll-out may have completed
    // and the old targets stopped. The bounds of roll-outs hold for VMs in touch.
    [[nodiscard]] bool is_substitute(const base::service_id& service,
                                     const std::string& version, base::instant now) const;
    // Returns the version of the service's running roll-out; null if none runs.
    [[nodiscard]] const std::string*
    running_version(const base::service_id& service) const;
    // Returns true if the next request may go to the version of the running roll-out.
    [[nodiscard]] bool allows_next(const base::service_id& service,
                                   base::instant now) const;

    void on_sent(const base::service_id& service, const std::string& version,
                 base::instant now);
    void on_answer(const base::service_id& service, const std::string& version,
                   response_kind kind, base::duration latency,
                   base::duration expected_latency);
    // Returns what the versions of services with a running roll-out have answered since
    // this VM learned of the order; the version before the order is always among them.
    [[nodiscard]] std::vector<deployment::version_answers> answers() const;

private:
    struct service_rules
    {
        deployment::rollout order;
        version_share share;
        std::map<std::string, deployment::version_answers> answers;
    };

    struct listed_version
    {
        // Held back before this time and without a state of this index.
        base::instant held_until;
        base::log_index state_index;
    };
    struct listed_versions
    {
        base::instant first_read_at = base::instant::max();
        std::map<std::string, listed_version> versions;
    };

    [[nodiscard]] bool is_held(const base::service_id& service,
                               const std::string& version, base::instant now) const;
    // Null if no roll-out of the service runs.
    [[nodiscard]] const service_rules*
    find_running(const base::service_id& service) const;
    service_rules* find_running(const base::service_id& service);

    std::string own_name_;
    base::duration share_lifetime_;
    base::duration contact_limit_;
    bool holds_joining_versions_;
    // When the last answer of the leader was asked for.
    base::instant heard_at_;
    std::map<base::service_id, service_rules> services_;
    base::log_index state_index_;
    std::map<base::service_id, listed_versions> listed_;
};

} // namespace curranthoist::forwarding
