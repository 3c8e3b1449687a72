#pragma once

#include "curranthoist/base/findings.hpp"
#include "curranthoist/control/configuration.hpp"
#include "curranthoist/control/intent.hpp"

#include <cstdint>
#include <set>
#include <string>

namespace curranthoist::control::internal {

// Collects every reason why one intent can't be applied to one configuration.
class intent_checker
{
public:
    // Both references must outlive the checker.
    intent_checker(const configuration& current, const intent& wanted);

    base::findings check();

private:
    void check_name(const std::string& place, const std::string& name);
    void check_range(const std::string& place, std::uint64_t value, std::uint64_t low,
                     std::uint64_t high);
    void check_address(const std::string& place, const std::string& text);
    void check_service_is_known();
    void check_service_fields(const service_spec& before);
    void check_target_fields();
    void check_targets();
    void check_new_targets_share_no_address();
    void check_create_service();
    void check_set_limit();
    void check_zone();
    void check_target();
    void check_add_vm();
    void check_retire_vm();
    void check_replace_member();

    const configuration& current_;
    const intent& wanted_;
    // Where the intent names its subject, such as "intent.zone".
    std::string subject_;
    base::findings found_;
};

} // namespace curranthoist::control::internal
