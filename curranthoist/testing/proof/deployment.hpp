#pragma once

#include "curranthoist/testing/process_fixture.hpp"
#include "curranthoist/testing/tcp_forwarder.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace curranthoist::testing {

// Base of tests that bring faults about between real processes: control members, entry
// VMs and stand-in targets. Every link between two processes can go through a
// tcp_forwarder. The targets' journals are the oracle.
class deployment : public process_fixture
{
protected:
    static constexpr std::uint16_t callers_port = 8080;
    static constexpr std::uint16_t peers_port = 7000;
    static constexpr std::uint16_t operators_port = 8081;
    static constexpr std::uint16_t target_port = 9000;
    static constexpr std::uint16_t admin_port = 9001;
    // Stated targets (docs/design.md): lease, zone taken out, change in force everywhere.
    static constexpr base::duration lease_length{4000};
    static constexpr base::duration zone_out_limit{6000};
    static constexpr base::duration change_limit{9000};

    struct control_member
    {
        std::string name;
        std::string address;
        std::string settings;
        child_process* process = nullptr;
    };
    struct entry_vm
    {
        std::string name;
        std::string address;
        std::string settings;
        child_process* process = nullptr;
    };
    struct target_process
    {
        std::string zone;
        std::string address;
        child_process* process = nullptr;
    };
    struct operator_answer
    {
        unsigned status = 0;
        nlohmann::json body;
    };
    struct prepared_change
    {
        nlohmann::json request;
    };

    // Starts `count` members; with `through_links` each reaches each other through a
    // forwarder of its own (see link()).
    void start_control(unsigned count = 3, bool through_links = false);
    // Starts a member with those options; also one that ran before.
    void start_member(unsigned member, const std::vector<std::string>& options = {});
    // Adds the settings of a member that replaces another; it is the last of members_.
    void add_replacement(const std::string& name);
    // The forwarder on the way from one member, or VM, to a member.
    tcp_forwarder& link(const std::string& from, const std::string& to)
    {
        return *links_.at({from, to});
    }
    // Cuts or heals all ways between one member and the others.
    void isolate(unsigned member, bool cut);
    // The number of the member that says it leads and is confirmed by a quorum; polls.
    // Fails the test if there is none within the limit.
    unsigned leader(base::duration limit = base::duration(10'000));

    // Plans an intent and returns the confirmation, ready to be sent, perhaps repeatedly.
    prepared_change prepare(const nlohmann::json& intent);
    // Sends the confirmation to one member.
    operator_answer confirm_at(unsigned member, const prepared_change& change);
    // Sends the confirmation, again after a lost answer, until the outcome is known.
    operator_answer confirm(const prepared_change& change);
    // Plans and confirms; plans again if the revision changed. Returns the outcome.
    nlohmann::json apply(const nlohmann::json& intent);
    // GET from the leader; polls.
    nlohmann::json from_leader(const std::string& path);
    // True once every VM has applied what is in force.
    bool wait_until_in_force(base::duration limit = change_limit);

    // Starts the targets of a service, alternating between zones a and b, and declares
    // it. With `linked`, VMs reach each through link("vm", <target>).
    void add_service(const std::string& name, bool order, unsigned shards,
                     unsigned replicas, const std::vector<std::string>& options = {},
                     bool linked = false);
    // Declares and starts VMs, alternating between zones a and b. With `linked`, each
    // reaches the control members through link(<vm>, <member>).
    void add_vms(unsigned count, bool linked = false);
    void start_vm(unsigned vm);
    bool wait_until_complete(const std::string& service);

    http::target_result query(unsigned vm, const std::string& service,
                              const std::string& deadline_ms = "2000",
                              const std::string& id = "");
    http::target_result order(unsigned vm, const std::string& service,
                              const std::string& id);
    static std::string new_order_id(const std::string& unique);
    [[nodiscard]] bool is_ready(unsigned vm);
    // The sum of a metric of the VM whose name starts so.
    double metric(unsigned vm, const std::string& name);

    void fault(const std::string& target, const nlohmann::json& command);
    nlohmann::json summary(const std::string& target);
    // The runs in a target's journal.
    std::vector<nlohmann::json> runs(const std::string& target);
    // The runs of that order id in the journals of all targets.
    std::size_t order_runs(const std::string& id);
    // The start of the latest run at any target of the zone, as wall-clock time.
    std::int64_t last_start_in_zone(const std::string& zone);

    static http::target_result request(const base::endpoint& remote,
                                       const std::string& method, const std::string& path,
                                       const std::string& body,
                                       base::duration limit = base::duration(1000));
    std::string write_file(const std::string& name, const std::string& text);

    std::vector<control_member> members_;
    std::vector<entry_vm> vms_;
    std::map<std::string, target_process> targets_;

private:
    tcp_forwarder& add_link(const std::string& from, const std::string& to,
                            const base::endpoint& upstream);
    void write_member_settings(unsigned member, bool through_links);
    std::string control_addresses(const std::string& vm, bool linked);
    std::optional<unsigned> find_leader();

    std::map<std::pair<std::string, std::string>, std::unique_ptr<tcp_forwarder>> links_;
    std::map<std::pair<std::string, std::string>, std::string> link_addresses_;
    unsigned intents_ = 0;
};

} // namespace curranthoist::testing
