#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/consensus/replica.hpp"
#include "curranthoist/consensus/wire_codec.hpp"
#include "curranthoist/testing/fuzz/chunks.hpp"

#include <cstdint>
#include <cstdlib>

// Frames of other members into a replica, whose writes are synced at once. Committed
// indexes never go back, and what is sent can be encoded.

namespace curranthoist::testing::fuzz {

namespace {

storage::recovered_log three_members()
{
    std::vector<consensus::member> members;
    for (const char* id : {"c1", "c2", "c3"}) {
        members.push_back({base::member_id(id), *base::endpoint::parse("127.0.0.1:4001"),
                           consensus::member_role::voter});
    }
    storage::recovered_log recovered;
    recovered.identity = base::member_id("c1");
    recovered.entries.push_back(
        consensus::first_log_entry(consensus::membership(std::move(members))));
    return recovered;
}

class driven_replica
{
public:
    void on_frame(std::span<const std::uint8_t> frame)
    {
        const wire::envelope* message = wire::verified_envelope(frame);
        if (message == nullptr) {
            return;
        }
        if (const auto body = consensus::from_envelope(*message)) {
            replica_.on_message(*body, now_);
        }
        settle();
        now_ = now_ + base::duration(50);
        replica_.on_time(now_);
        replica_.propose({1, 2, 3});
        settle();
    }

private:
    void settle()
    {
        constexpr int max_rounds = 4;
        for (int i = 0; i < max_rounds; ++i) {
            const consensus::replica_output output = replica_.take_output(now_);
            for (const auto& one : output.messages) {
                static_cast<void>(consensus::to_frame(one.body));
            }
            if (replica_.commit_index() < committed_) {
                std::abort();
            }
            committed_ = replica_.commit_index();
            if (output.writes.empty()) {
                return;
            }
            replica_.on_disk_done(output.writes.back().number, now_);
        }
    }

    base::instant now_{10'000};
    base::log_index committed_;
    consensus::replica replica_{three_members(), consensus::replica_options{}, 1, now_};
};

} // namespace

} // namespace curranthoist::testing::fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace curranthoist::testing::fuzz;
    driven_replica replica;
    for (const auto& frame : split_chunks({data, size})) {
        replica.on_frame(frame);
    }
    return 0;
}
