#pragma once

#include "curranthoist/testing/process_fixture.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace curranthoist::entry {

// Base of tests with a small deployment of real processes: one control process, entry VMs
// and stand-in targets, each on an address of its own.
class deployment_fixture : public testing::process_fixture
{
protected:
    static constexpr std::uint16_t callers_port = 8080;
    static constexpr std::uint16_t peers_port = 7000;
    static constexpr std::uint16_t control_port = 7100;
    static constexpr std::uint16_t operators_port = 8081;
    static constexpr std::uint16_t target_port = 9000;
    static constexpr std::uint16_t admin_port = 9001;

    struct target_entry
    {
        std::string address;
        testing::child_process* process = nullptr;
    };

    void start_control();
    // Starts the targets of a service and declares it. Shard n's targets are n "a",
    // "b"...
    void add_service(const std::string& name, bool order, unsigned shards,
                     unsigned replicas);
    void add_vms(unsigned count);
    // True once every VM is ready and answers the query service completely.
    bool wait_until_complete(const std::string& service);

    http::target_result query(unsigned vm, const std::string& service,
                              const std::string& deadline_ms = "2000");
    http::target_result order(unsigned vm, const std::string& service,
                              const std::string& id);
    [[nodiscard]] base::endpoint callers_of(unsigned vm) const
    {
        return {vms_.at(vm).address, callers_port};
    }
    // The runs of that order id in the journals of all targets.
    std::size_t order_runs(const std::string& id);

    // Further lines of the settings of the control process and of its VMs.
    std::string control_lines_;
    std::string vm_lines_;
    std::map<std::string, target_entry> targets_;
    std::vector<target_entry> vms_;
    // The address of the control process, and the process.
    std::string control_;
    testing::child_process* control_process_ = nullptr;

private:
    void confirm(const nlohmann::json& intent);
    std::string write_file(const std::string& name, const std::string& text);
    void start_vm(const std::string& name, const std::string& address);

    unsigned intents_ = 0;
};

} // namespace curranthoist::entry
