#pragma once

#include "curranthoist/testing/platform/stand_in_platform.hpp"
#include "curranthoist/testing/process_fixture.hpp"
#include "curranthoist/testing/tcp_forwarder.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace curranthoist::testing {

// Base of tests with the platform's programs: VMs, each with a front and a core process,
// on loopback addresses of their own, and the platform around them with two shards and a
// service of single requests, each with two targets.
//
//     class path_test : public platform_fixture
//     {
//     protected:
//         path_test() { add_vms(3); }
//     };
class platform_fixture : public process_fixture
{
protected:
    static constexpr std::uint16_t callers_port = 8104;
    static constexpr std::uint16_t operators_port = 8106;
    static constexpr std::uint16_t readiness_port = 8108;
    static constexpr std::uint16_t peers_port = 7380;
    static constexpr std::uint16_t list_port = 9000;
    static constexpr std::uint16_t core_metrics_port = 9465;
    static constexpr const char* host = "h.example";

    platform_fixture();

    // The first three VMs, or fewer, are the seeds. With `forwarded` other VMs reach a VM
    // through forwarders only, which the test can cut.
    void add_vms(std::size_t count, bool forwarded = false);
    child_process& start_core(std::size_t vm, bool first = true,
                              const std::string& folder_name = "disk");
    // Without a folder the VM has no disk.
    child_process& start_front(std::size_t vm);
    void start_all();
    std::string settings(std::size_t vm, bool first, const std::string& folder_name);

    // Adds `count` services of two targets each and returns a configuration in which
    // /q/ goes to all of them; `version` as below.
    nlohmann::json wide_configuration(std::uint64_t version, std::size_t count);
    // Routes /q/ (both shards), /o/ (at most once) and /l/ (repeatable) of the host.
    static nlohmann::json configuration(std::uint64_t version,
                                        unsigned timeout_ms = 2000);
    // Sends to one member after the other, as operators do, and follows one redirect.
    // Returns the status, or 0 if none gave a clear answer.
    unsigned operate(const std::string& method, const std::string& path,
                     const std::string& body, std::string* answer = nullptr);
    bool replace(const nlohmann::json& body, unsigned wanted = 200);
    // The version that is read back; 0 without a clear answer.
    std::uint64_t version_read_back();
    // Promotions of members after the founder, as the leaders logged them.
    std::size_t voters_added();
    // A gauge of a VM's core process; nothing without an answer.
    std::optional<std::int64_t> core_metric(std::size_t vm, const std::string& name);
    bool ready(std::size_t vm);
    http::target_result ask(std::size_t vm, const std::string& path,
                            const std::string& attempt,
                            const std::string& method = "GET");

    // Sends `count` orders, "order-0" and so on, to a VM at once and returns their
    // answers. Runs `meanwhile` as soon as they have had time to arrive.
    std::vector<http::target_result>
    order_at_once(std::size_t vm, std::size_t count, base::duration deadline,
                  const std::function<void()>& meanwhile);

    // Where each VM's processes listen, and where other VMs reach them.
    std::vector<std::string> vms_;
    std::vector<std::string> advertised_;
    // Of each VM, for messages between processes and for operators.
    std::vector<std::unique_ptr<tcp_forwarder>> peer_links_;
    std::vector<std::unique_ptr<tcp_forwarder>> operator_links_;
    // The first so many VMs are the seeds in all settings.
    std::size_t seeds_ = 3;
    // Further lines of every settings file.
    std::string more_settings_;
    // Command-line options of the core processes.
    std::vector<std::string> core_options_;
    std::string list_;
    std::optional<stand_in_platform> platform_;
    std::vector<child_process*> cores_;
    std::vector<child_process*> fronts_;
};

} // namespace curranthoist::testing
