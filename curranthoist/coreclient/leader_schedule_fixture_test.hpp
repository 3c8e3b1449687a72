#pragma once

#include "curranthoist/consensus/replica_schedule_fixture_test.hpp"
#include "curranthoist/coreclient/followed_leader.hpp"
#include "curranthoist/coreclient/leader_claim.hpp"
#include "curranthoist/coreclient/listing_order.hpp"

#include <array>
#include <memory>
#include <optional>
#include <set>
#include <variant>

namespace curranthoist::coreclient::testing_support {

using namespace base::literals;
using consensus::replica_rules;
using consensus::testing_support::schedule_checker;

constexpr base::duration answer_limit = 1200_ms;
constexpr base::duration report_interval = 400_ms;
constexpr base::duration reading_interval = 900_ms;
// After which a list that a front still lacks is sent to it again.
constexpr base::duration listing_delay = 1000_ms;
constexpr base::duration quiet_time = 10'000_ms;
constexpr std::size_t member_count = 3;
constexpr std::size_t vm_count = 5;

// Which members run the version before, that does not tell its term, and publishes under
// whatever term it has heard of until it reports the loss of the lead.
enum class versions
{
    all_new,
    mixed,
    // All run the version before and are held to the rules of the new one.
    all_old,
};

struct report_message
{
    base::instant sent_at;
    listing_number held;
};
struct answer_message
{
    base::instant report_sent_at;
    bool leads = false;
    base::term term;
};
struct list_message
{
    listing_number number;
    std::uint64_t base = 0;
    // Which state of the platform it shows.
    std::uint64_t shown = 0;
};
using message_body =
    std::variant<consensus::message_body, report_message, answer_message, list_message>;

struct transit
{
    message_body body;
    base::instant sent_at;
};

struct reading
{
    base::term term;
    std::uint64_t shown = 0;
    // When the last page is there.
    base::instant ends_at;
};

// A member as its process drives it: messages and time go to the replica at once, and
// what follows from them happens in the next turn of the loop.
struct member_process
{
    std::unique_ptr<consensus::testing_support::scheduled_member<replica_rules>> log;
    bool is_old = false;
    bool reported_leads = false;
    base::term reported_term;
    std::optional<reading> under_way;
    base::instant read_at;
    std::optional<list_message> published;
    std::uint64_t sequence = 0;
    // What was sent last to each front.
    std::array<listing_number, vm_count> sent;
    std::array<base::instant, vm_count> sent_at;
};

struct front_process
{
    followed_leader leader{answer_limit};
    listing_order order;
    listing_number held;
    std::uint64_t shown = 0;
    base::term latest_heard;
    std::array<base::instant, member_count> reported_at;
};

// Each VM has a front; the first ones have a member as well.
struct vm
{
    member_process member;
    front_process front;
    base::instant stands_still_from;
    base::instant stands_still_until;
    // The end of the last time for which it stood still so long that others may have
    // elected a leader, and the VMs whose messages from after it were handled.
    base::instant woken_at;
    std::set<std::size_t> heard_since;
    bool cut_off = false;
};

} // namespace curranthoist::coreclient::testing_support
