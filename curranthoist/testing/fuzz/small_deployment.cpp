#include "curranthoist/testing/fuzz/small_deployment.hpp"

#include <memory>
#include <string>
#include <utility>

namespace curranthoist::testing::fuzz {

namespace {

using namespace control::encoded;

std::unique_ptr<declared_target_message> target(const std::string& id,
                                                const std::string& address)
{
    auto result = std::make_unique<declared_target_message>();
    result->id = id;
    result->zone = "a";
    result->address = address;
    return result;
}

class deployment_builder
{
public:
    void add_intent(intent_message wanted)
    {
        operator_intent_message command;
        command.intent_id = "i" + std::to_string(revision_);
        command.operator_name = "op";
        command.base_revision = revision_++;
        command.value = std::make_unique<intent_message>(std::move(wanted));
        add(std::move(command));
    }
    void add_service(const std::string& id, bool order, const std::string& prefix,
                     const std::string& address)
    {
        intent_message service;
        service.kind = intent_kind::create_service;
        service.subject = id;
        service.order = order;
        service.targets.push_back(target(prefix + "1", address + ":2001"));
        service.targets.push_back(target(prefix + "2", address + ":2002"));
        add_intent(std::move(service));
    }
    void add_vm(const std::string& id, const std::string& address)
    {
        intent_message vm;
        vm.kind = intent_kind::add_vm;
        vm.subject = id;
        vm.zone = "a";
        vm.address = address;
        add_intent(std::move(vm));
    }
    template <class Body>
    void add(Body body)
    {
        commands_.push_back(
            control::encode_command(base::instant(deployment_time_ms), std::move(body)));
    }
    std::vector<std::vector<std::uint8_t>> take() { return std::move(commands_); }

private:
    std::uint64_t revision_ = 0;
    std::vector<std::vector<std::uint8_t>> commands_;
};

change_assignments_message own_first_target()
{
    auto change = std::make_unique<assignment_change_message>();
    change->step = assignment_step::own;
    change->target = "q1";
    change->owner = "vm1";
    change->reason = "assigned target q1 to VM vm1";
    change_assignments_message all;
    all.changes.push_back(std::move(change));
    return all;
}

} // namespace

std::vector<std::vector<std::uint8_t>> small_deployment()
{
    deployment_builder builder;
    intent_message zone;
    zone.kind = intent_kind::add_zone;
    zone.subject = "a";
    builder.add_intent(std::move(zone));
    builder.add_service("desk", false, "q", "127.0.0.1");
    builder.add_service("book", true, "o", "127.0.0.2");
    builder.add_vm("vm1", "127.0.0.3:3001");
    builder.add_vm("vm2", "127.0.0.3:3002");
    open_incarnation_message open;
    open.vm = "vm1";
    open.incarnation = 7;
    builder.add(std::move(open));
    builder.add(own_first_target());
    claim_message claim;
    claim.request_id = std::to_string(deployment_time_ms) + "-a";
    claim.vm = "vm1";
    claim.incarnation = 7;
    claim.attempt = 1;
    builder.add(std::move(claim));
    record_claim_message outcome;
    outcome.request_id = std::to_string(deployment_time_ms) + "-a";
    outcome.vm = "vm1";
    outcome.incarnation = 7;
    outcome.attempt = 1;
    outcome.result = claim_status::ran;
    outcome.body = {'{', '}'};
    outcome.body_bytes = outcome.body.size();
    builder.add(std::move(outcome));
    return builder.take();
}

} // namespace curranthoist::testing::fuzz
