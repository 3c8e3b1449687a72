#pragma once

#include "curranthoist/base/counter_registry.hpp"
#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/base/logger.hpp"
#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/consensus/replica_host.hpp"
#include "curranthoist/deployment/deployment_state.hpp"
#include "curranthoist/http/caller_request.hpp"
#include "curranthoist/http/responder.hpp"
#include "curranthoist/platform/operator_call.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace curranthoist::cored {

class founder_choice;
class membership_keeper;

// Answers the requests that reach a member of the core by HTTP: operators' orders and
// readings, and other processes that want to found the log or to be taken in.
//
// An order is acknowledged once it is committed; a reading is answered after a quorum has
// confirmed the leader. Other members send both to the leader. What can't be known is
// answered 503.
class operator_requests
{
public:
    using host_type = consensus::replica_host<deployment::deployment_state>;

    // Returns the version that most listed targets of a service have, other than the
    // given one; nullopt if no list has been read.
    using version_source = std::function<std::optional<std::string>(
        const base::service_id& service, const std::string& target_version)>;

    // All references must outlive it. `founder` is the founder's address for other
    // members at the first start, and empty afterwards.
    operator_requests(host_type& host, const deployment::deployment_state& state,
                      membership_keeper& keeper, founder_choice& choice,
                      base::endpoint own_peers, const base::endpoint& founder,
                      std::uint16_t operators_port, version_source listed_version);
    operator_requests(const operator_requests&) = delete;
    operator_requests& operator=(const operator_requests&) = delete;

    void answer(const http::caller_request& request, const http::responder& answer);
    // Called with where members reach a process that asked this one to be taken in while
    // it does not lead. A member that has a place asks as well, to tell where it is.
    void set_applicant_handler(std::function<void(const base::endpoint&)> handler)
    {
        on_applicant_ = std::move(handler);
    }
    // Where operators reach the member at this peer address.
    [[nodiscard]] base::endpoint operators_of(const base::endpoint& peers) const;
    [[nodiscard]] base::counter_registry& metrics() { return metrics_; }

private:
    void replace_configuration(const http::caller_request& request,
                               const http::responder& answer);
    void read_configuration(const std::string& path, const http::responder& answer);
    void change_evacuation(const platform::evacuation_call& call, const std::string& path,
                           const http::responder& answer);
    void start_rollout(const http::caller_request& request,
                       const http::responder& answer);
    // Runs on a leader that a quorum has confirmed.
    void start_confirmed_rollout(deployment::rollout order,
                                 const http::responder& answer);
    void read_rollout(const base::service_id& service, const std::string& path,
                      const http::responder& answer);
    // Logs and counts an order that is refused for its contents.
    void refuse_order(const std::string& what, unsigned status, const std::string& reason,
                      const http::responder& answer);
    void on_join(const http::caller_request& request, const http::responder& answer);
    // Sends the request to the leader, or answers 503 if none is known.
    void redirect(const std::string& path, const http::responder& answer);
    // True while a log that was just founded has too few members to survive a loss.
    [[nodiscard]] bool is_gathering() const;
    // `respond` answers an applied command; by default with 200.
    void propose(std::vector<std::uint8_t> command, const std::string& what,
                 const http::responder& answer,
                 std::function<http::caller_response()> respond = {});
    void count_order(const char* outcome);

    host_type& host_;
    const deployment::deployment_state& state_;
    membership_keeper& keeper_;
    founder_choice& choice_;
    base::endpoint own_peers_;
    const base::endpoint& founder_;
    std::uint16_t operators_port_;
    version_source listed_version_;
    base::logger log_{"core"};
    base::monotonic_clock clock_;
    base::instant started_;
    base::counter_registry metrics_;
    std::function<void(const base::endpoint&)> on_applicant_;
};

} // namespace curranthoist::cored
