#pragma once

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
    // `share_lifetime` is how long a share is in force without a newer one.
    explicit version_rules(std::string own_name,
                           base::duration share_lifetime = version_share::max_lifetime)
        : own_name_(std::move(own_name))
        , share_lifetime_(share_lifetime)
    {}

    // Sets the newest roll-out of each service.
    void set_rollouts(std::span<const deployment::rollout> rollouts);
    // Sets the shares that the leader named at `named_at` or later. A running roll-out
    // that it did not name gets nothing.
    void set_shares(std::span<const deployment::rollout_share> shares,
                    base::instant named_at);

    // Returns true if targets of this version may get requests at all now.
    [[nodiscard]] bool is_allowed(const base::service_id& service,
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
    // this VM learned of the order.
    [[nodiscard]] std::vector<deployment::version_answers> answers() const;

private:
    struct service_rules
    {
        deployment::rollout order;
        version_share share;
        std::map<std::string, deployment::version_answers> answers;
    };

    // Null if no roll-out of the service runs.
    [[nodiscard]] const service_rules*
    find_running(const base::service_id& service) const;
    service_rules* find_running(const base::service_id& service);

    std::string own_name_;
    base::duration share_lifetime_;
    std::map<base::service_id, service_rules> services_;
};

} // namespace curranthoist::forwarding
