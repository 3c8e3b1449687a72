#pragma once

#include "curranthoist/control/configuration.hpp"
#include "curranthoist/control/plan.hpp"

#include <set>

namespace curranthoist::control::internal {

// Builds one plan.
class plan_maker
{
public:
    // All references must outlive the maker.
    plan_maker(const cluster_state& state, const roster& facts, const intent& wanted);

    plan make();

private:
    // Coverage of one service in one configuration.
    struct coverage
    {
        std::uint64_t slots = 0;
        std::uint64_t shards = 0;
        std::uint64_t covered = 0;
        std::uint64_t single = 0;
        std::uint64_t unreported = 0;
    };

    void add_steps();
    void add_release_steps();
    void add_capacity();
    void add_service(const base::service_id& service);
    void judge(const service_capacity& service, const coverage& before,
               const coverage& left);
    void warn_about_vms();
    [[nodiscard]] std::set<base::service_id> affected_services() const;
    [[nodiscard]] coverage cover(const configuration& in,
                                 const base::service_id& service) const;

    const cluster_state& state_;
    const roster& facts_;
    const intent& wanted_;
    configuration after_;
    plan plan_;
};

} // namespace curranthoist::control::internal
