#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/control/configuration_codec.hpp"
#include "curranthoist/entry/claim_ledger.hpp"
#include "curranthoist/entry/part_reply_codec.hpp"
#include "curranthoist/entry/service_registry.hpp"
#include "curranthoist/routing/scatter.hpp"
#include "curranthoist/testing/fuzz/chunks.hpp"
#include "curranthoist/wire/frame_codec.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>

// Frames that an entry process gets from the control leader and from other entry VMs:
// configurations, rosters, answers to claims and replies to a query's parts.

namespace curranthoist::testing::fuzz {

namespace {

class receiver
{
public:
    receiver()
    {
        for (const char* id : {"r1", "r2", "r3"}) {
            wire::claim_request_message claim;
            claim.request_id = id;
            claim.attempt = 1;
            claims_.add_claim(claim, [](const auto& /*reply*/) {});
        }
    }
    void on_frame(std::span<const std::uint8_t> frame)
    {
        const wire::envelope* message = wire::verified_envelope(frame);
        if (message == nullptr) {
            return;
        }
        now_ = now_ + base::duration(10);
        if (const auto* update = message->body_as_configuration_update()) {
            on_configuration(*update);
        }
        else if (const auto* roster = message->body_as_roster_update()) {
            services_.apply(*roster);
            restart();
        }
        else if (const auto* reply = message->body_as_part_reply()) {
            on_part_reply(*reply);
        }
        else if (const auto* answer = message->body_as_claim_reply()) {
            static_cast<void>(claims_.on_reply(*answer));
        }
        else if (const auto* stored = message->body_as_claim_outcome_ack()) {
            claims_.on_acknowledged(*stored);
        }
    }

private:
    void on_configuration(const wire::configuration_update& update)
    {
        if (update.value() == nullptr) {
            return;
        }
        wire::configuration_message unpacked;
        update.value()->UnPackTo(&unpacked);
        try {
            configuration_ = control::from_message(unpacked);
        }
        catch (const base::findings_error&) {
            return;
        }
        services_.apply(configuration_);
        restart();
    }
    void restart()
    {
        const base::service_id desk("desk");
        routing::scatter_options options;
        options.query = 1;
        options.deadline = now_ + base::duration(1000);
        const auto map = services_.map_of(desk);
        query_.emplace(services_.state_of(desk).context, map, options);
        static_cast<void>(query_->start(now_));
    }
    void on_part_reply(const wire::part_reply& message)
    {
        wire::part_reply_message unpacked;
        message.UnPackTo(&unpacked);
        if (query_) {
            static_cast<void>(query_->on_part_reply(now_, base::vm_id("vm1"),
                                                    entry::from_message(unpacked)));
            static_cast<void>(query_->on_time(now_));
        }
    }

    base::instant now_{10'000};
    base::random_source random_{1};
    control::configuration configuration_;
    entry::service_registry services_{{}, random_};
    entry::claim_ledger claims_;
    std::optional<routing::scatter<>> query_;
};

} // namespace

} // namespace curranthoist::testing::fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace curranthoist::testing::fuzz;
    receiver entry;
    for (const auto& frame : split_chunks({data, size})) {
        entry.on_frame(frame);
    }
    return 0;
}
