#include "curranthoist/testing/fuzz/seeds.hpp"

#include "curranthoist/consensus/replica.hpp"
#include "curranthoist/consensus/wire_codec.hpp"
#include "curranthoist/control/cluster_state.hpp"
#include "curranthoist/control/configuration_codec.hpp"
#include "curranthoist/storage/internal/byte_codec.hpp"
#include "curranthoist/storage/internal/record_codec.hpp"
#include "curranthoist/testing/fuzz/chunks.hpp"
#include "curranthoist/testing/fuzz/small_deployment.hpp"

#include <fstream>
#include <iterator>
#include <memory>
#include <string_view>
#include <utility>

namespace curranthoist::testing::fuzz {

namespace {

using bytes = std::vector<std::uint8_t>;
using inputs = std::vector<bytes>;

bytes bytes_of(std::string_view text)
{
    return {text.begin(), text.end()};
}

template <class... Message>
bytes frames(Message... message)
{
    bytes result;
    const auto add = [&result](const bytes& frame) {
        result.insert(result.end(), frame.begin(), frame.end());
    };
    (add(wire::encode_frame(std::move(message))), ...);
    return result;
}

wire::hello_message hello(const std::string& id)
{
    wire::hello_message message;
    message.protocol = wire::protocol_version;
    message.id = id;
    message.zone = "a";
    message.incarnation = 7;
    return message;
}

std::unique_ptr<wire::target_fact_message> fact()
{
    auto result = std::make_unique<wire::target_fact_message>();
    result->target = "q1";
    result->boot_id = "b1";
    result->reachable = true;
    auto held = std::make_unique<wire::held_snapshot_message>();
    held->version = 3;
    held->shards = 2;
    result->snapshots.push_back(std::move(held));
    return result;
}

wire::heartbeat_message heartbeat(std::uint64_t sequence)
{
    wire::heartbeat_message message;
    message.sequence = sequence;
    message.applied_revision = 6;
    message.full_facts = true;
    message.facts.push_back(fact());
    auto released = std::make_unique<wire::released_target_message>();
    released->target = "q1";
    released->fence = 1;
    released->warm = true;
    released->pace_milli_per_s = 5000;
    message.released.push_back(std::move(released));
    return message;
}

const std::string claimed_id = std::to_string(deployment_time_ms) + "-b";

wire::claim_request_message claim_request()
{
    wire::claim_request_message message;
    message.request_id = claimed_id;
    message.service = "book";
    message.incarnation = 7;
    message.attempt = 1;
    return message;
}

wire::claim_outcome_message claim_outcome()
{
    wire::claim_outcome_message message;
    message.request_id = claimed_id;
    message.incarnation = 7;
    message.attempt = 1;
    message.body = bytes_of("{}");
    return message;
}

control::cluster_state deployed()
{
    control::cluster_state state;
    std::uint64_t index = 0;
    for (const bytes& command : small_deployment()) {
        state.apply(base::log_index(++index), command);
    }
    return state;
}

wire::configuration_update_message configuration()
{
    wire::configuration_update_message message;
    message.value = std::make_unique<wire::configuration_message>(
        control::to_message(deployed().current()));
    return message;
}

wire::roster_update_message roster()
{
    wire::roster_update_message message;
    message.sequence = 1;
    message.full = true;
    message.facts.push_back(fact());
    return message;
}

wire::part_reply_message part_reply()
{
    wire::part_reply_message message;
    message.query_id = 1;
    message.part_id = 1;
    message.boot_id = "b1";
    message.snapshot = 3;
    message.shards = 2;
    message.service_time_ms = 4;
    message.body = bytes_of("{}");
    return message;
}

wire::claim_reply_message claim_reply()
{
    wire::claim_reply_message message;
    message.request_id = "r1";
    message.attempt = 1;
    return message;
}

consensus::member voter(const char* id)
{
    return {base::member_id(id), *base::endpoint::parse("127.0.0.1:4001"),
            consensus::member_role::voter};
}

bytes encoded_membership()
{
    return consensus::membership({voter("c1"), voter("c2"), voter("c3")}).encode();
}

consensus::append_request append()
{
    consensus::append_request request;
    request.term = base::term(2);
    request.leader = base::member_id("c2");
    request.previous_index = base::log_index(1);
    request.previous_term = consensus::first_log_entry({}).term;
    request.commit_index = base::log_index(2);
    request.round = 1;
    request.entries = {
        {base::term(2), base::log_index(2), storage::entry_kind::command, {1, 2}},
        {base::term(2), base::log_index(3), storage::entry_kind::membership,
         encoded_membership()}};
    return request;
}

consensus::snapshot_chunk snapshot_chunk()
{
    consensus::snapshot_chunk chunk;
    chunk.term = base::term(2);
    chunk.leader = base::member_id("c2");
    chunk.last_index = base::log_index(9);
    chunk.last_term = base::term(2);
    chunk.total = 3;
    chunk.membership = encoded_membership();
    chunk.data = {1, 2, 3};
    return chunk;
}

bytes consensus_frames(const std::vector<consensus::message_body>& messages)
{
    bytes result;
    for (const consensus::message_body& message : messages) {
        const bytes frame = consensus::to_frame(message);
        result.insert(result.end(), frame.begin(), frame.end());
    }
    return result;
}

inputs consensus_inputs()
{
    using namespace consensus;
    const base::member_id self("c1");
    const base::member_id other("c2");
    const base::term term(1);
    vote_request vote{true, base::term(2), other, base::log_index(1), base::term(1)};
    // Many time steps, then the votes and the acknowledgement of two followers.
    std::vector<message_body> elected(25, vote_reply{true, {}, other, false});
    elected.insert(elected.end(),
                   {vote_reply{true, term, other, true},
                    vote_reply{false, term, other, true},
                    append_reply{term, other, true, base::log_index(2), 1},
                    snapshot_reply{term, other, base::log_index(9), 3, 1}});
    return {consensus_frames({vote, append(), append()}),
            consensus_frames({snapshot_chunk(), append()}), consensus_frames(elected)};
}

inputs command_inputs()
{
    inputs result;
    bytes all;
    for (const bytes& command : small_deployment()) {
        bytes one;
        add_chunk(one, command);
        result.push_back(one);
        add_chunk(all, command);
    }
    result.push_back(all);
    return result;
}

bytes file_chunk(std::uint8_t name, const bytes& content)
{
    bytes result{name};
    result.insert(result.end(), content.begin(), content.end());
    return result;
}

inputs log_store_inputs()
{
    using storage::internal::byte_writer;
    const std::vector<storage::log_entry> first{{base::term(1), base::log_index(1),
                                                 storage::entry_kind::membership,
                                                 encoded_membership()}};
    const std::vector<storage::log_entry> more{
        {base::term(1), base::log_index(2), storage::entry_kind::command, {1, 2}},
        {base::term(1), base::log_index(3), storage::entry_kind::empty, {}}};
    byte_writer identity;
    identity.put_string(bytes_of("c1"));
    identity.put_string(storage::internal::encode_entries(first));
    byte_writer vote;
    vote.put(std::uint64_t{1});
    vote.put_string(bytes_of("c1"));
    byte_writer snapshot;
    snapshot.put(std::uint64_t{1});
    snapshot.put(std::uint64_t{1});
    snapshot.put(std::uint64_t{1});
    snapshot.put_string(encoded_membership());
    snapshot.put_string(bytes_of("state"));
    bytes folder;
    add_chunk(folder, file_chunk(0, identity.take()));
    add_chunk(folder, file_chunk(1, vote.take()));
    bytes with_log = folder;
    add_chunk(with_log, file_chunk(3, storage::internal::encode_entries(more)));
    bytes with_snapshot = with_log;
    add_chunk(with_snapshot, file_chunk(2, snapshot.take()));
    return {folder, with_log, with_snapshot};
}

inputs operator_inputs()
{
    return {bytes_of(R"(0{"intent": {"kind": "zone_out", "zone": "a"}})"),
            bytes_of(R"(0{"intent": {"kind": "create_service", "service": "s",
"service_kind": "query", "demand_complete": true, "default_deadline_ms": 100,
"max_deadline_ms": 200, "max_body_bytes": 10, "targets": [{"target": "t", "zone": "a",
"address": "127.0.0.9:1", "slots": 2, "connections": 25, "connect_cost_ms": 6}]}})"),
            bytes_of(R"(0{"intent": {"kind": "set_limit", "service": "desk", "slots": 3,
"connections": 30, "max_deadline_ms": 1000}})"),
            bytes_of(R"(0{"intent": {"kind": "replace_member", "member": "c1",
"new_member": "c4", "peer_address": "127.0.0.9:2"}})"),
            bytes_of(R"(0{"intent": {"kind": "add_vm", "vm": "vm3", "zone": "a",
"peer_address": "127.0.0.9:3"}})"),
            bytes_of(R"(1{"intent_id": "x", "operator": "op", "plan_id": "p",
"base_revision": 5, "intent": {"kind": "retire_vm", "vm": "vm2"}})")};
}

bytes file_content(const std::string& name)
{
    std::ifstream file(name, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

// One step of one connection, as http_edge_fuzz reads it.
void add_step(bytes& input, std::uint8_t action, std::uint8_t repeats,
              std::string_view content)
{
    bytes chunk{action, repeats};
    chunk.insert(chunk.end(), content.begin(), content.end());
    add_chunk(input, chunk);
}

// Heads, bodies with a length and in chunks, in pieces, kept, answered late, sent ahead,
// cut off and with long responses.
inputs http_edge_inputs()
{
    constexpr std::uint8_t answer_one = 0x04;
    constexpr std::uint8_t read = 0x08;
    constexpr std::uint8_t end = 0x10;
    constexpr std::uint8_t reset = 0x20;
    constexpr std::uint8_t many = 15;
    const std::string kilobyte(1024, 'b');
    const std::string long_head =
        "POST /keep HTTP/1.1\r\nHost: h\r\nContent-Length: 12288\r\n\r\n";
    const std::string chunked_head =
        "POST /keep HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    bytes ahead;
    add_step(ahead, 0, many, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    add_step(ahead, read, many, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n");
    bytes stopped;
    for (std::uint8_t caller = 0; caller < 4; ++caller) {
        add_step(stopped, caller, 0, long_head);
        add_step(stopped, caller, 10, kilobyte);
    }
    add_step(stopped, 1, 0, kilobyte);
    bytes kept;
    for (std::uint8_t caller = 0; caller < 2; ++caller) {
        add_step(kept, caller, 0, long_head);
        add_step(kept, caller, 11, kilobyte);
    }
    add_step(kept, answer_one | read, 0, "");
    add_step(kept, 1 | reset, 0, "");
    add_step(kept, 2 | end, 0, long_head);
    bytes chunked;
    add_step(chunked, 0, 0, chunked_head);
    add_step(chunked, 0, 8, "400\r\n" + kilobyte + "\r\n");
    add_step(chunked, 0, 0, "0\r\n\r\n");
    add_step(chunked, 1, 0, chunked_head);
    add_step(chunked, 1, many, "400\r\n" + kilobyte + "\r\n");
    bytes refused;
    add_step(refused, 0, 0,
             "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999\r\n\r\n");
    add_step(refused, 1, 0,
             "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 8000\r\n\r\n");
    add_step(refused, 2, many, "X-Long: " + kilobyte + "\r\n");
    return {ahead, stopped, kept, chunked, refused};
}

// Statuses 200 and 503 with the headers that the adapter reads.
inputs health_answer_inputs()
{
    const std::string healthy = std::string("\0\xC8", 2);
    const std::string turned_away = std::string("\x01\xF7", 2);
    return {bytes_of(healthy + "Instance-Id:i-1\nCold-Milliseconds:250\n"),
            bytes_of(healthy + "Instance-Id:i-1\nServer-Leaving:1\n"),
            bytes_of(healthy + "Cold-Milliseconds:1e999\nServer-Leaving:0\n"),
            bytes_of(turned_away + "Retry-After:0.25\n"),
            bytes_of(turned_away + "Retry-After:1e999\n"),
            bytes_of(turned_away + "Retry-After:-1\n"),
            bytes_of(turned_away + "Retry-After:Wed, 21 Oct 2026 07:28:00 GMT\n")};
}

// Headers of callers with and without keys, and with what only the system may say.
inputs team_header_inputs()
{
    return {bytes_of("Host:h\nKey:key-1\nTenant:team-b\n"),
            bytes_of("KEY:key-2\ntenant:team-a\ntEnAnT:x\n"),
            bytes_of("Connection:Key, Tenant\nKey:key-3\nTenant:y\n"),
            bytes_of("Key:\nTenant:\nX-Key:key-1\n"),
            bytes_of("Key : key-1\n Tenant:z\nKey\t:key-3\n")};
}

// Pages with entries of another writer before, behind and between good ones.
inputs target_page_inputs()
{
    constexpr std::size_t nested = 2000;
    const std::string good =
        R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1",)"
        R"("slots":2,"state":"ready","cold_remaining_ms":1500,"id":"i-1"})";
    const auto page = [&good](const std::string& odd) {
        return bytes_of(R"({"instances":[)" + good + "," + odd + "," + good +
                        R"(],"next_page_token":"p-50"})");
    };
    return {page("7"),
            page(std::string(nested, '[') + std::string(nested, ']')),
            page(R"({"id":"i-2","slots":1e999,"address":"10.0.0.1:99999"})"),
            page("\"\xFF\xFE\""),
            page(R"({"id":"i-2)"),
            bytes_of(R"({"next_page_token":null,"instances":[]})")};
}

} // namespace

std::map<std::string, std::vector<std::vector<std::uint8_t>>>
all_seeds(const std::string& examples)
{
    wire::part_cancel_message cancel;
    cancel.part_id = 1;
    return {{"command_fuzz", command_inputs()},
            {"consensus_fuzz", consensus_inputs()},
            {"controller_fuzz",
             {frames(hello("vm1"), heartbeat(1), heartbeat(2), claim_request(),
                     claim_outcome()),
              frames(hello("vm2"), heartbeat(1), hello("vm1"), heartbeat(2))}},
            {"entry_fuzz",
             {frames(configuration(), roster(), part_reply(), part_reply()),
              frames(claim_reply(), wire::claim_outcome_ack_message{})}},
            {"filter_fuzz",
             {bytes_of("POST\n/v1/query/desk\n\n100\nbody"),
              bytes_of("POST\n/v1/order/book\n1700000000000-a\n\nbody")}},
            {"frame_fuzz",
             {frames(hello("vm1"), heartbeat(1), cancel),
              frames(heartbeat(1), wire::vote_reply_message{})}},
            {"health_answer_fuzz", health_answer_inputs()},
            {"http_edge_fuzz", http_edge_inputs()},
            {"log_store_fuzz", log_store_inputs()},
            {"operator_api_fuzz", operator_inputs()},
            {"settings_fuzz",
             {file_content(examples + "/entry.toml"),
              file_content(examples + "/control.toml")}},
            {"snapshot_fuzz", {deployed().snapshot()}},
            {"target_page_fuzz", target_page_inputs()},
            {"team_header_fuzz", team_header_inputs()}};
}

} // namespace curranthoist::testing::fuzz
