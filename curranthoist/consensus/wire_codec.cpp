#include "curranthoist/consensus/wire_codec.hpp"

#include <memory>
#include <string>

namespace curranthoist::consensus {

namespace {

std::vector<std::uint8_t> frame_of(const vote_request& value)
{
    wire::vote_request_message message;
    message.pre_vote = value.pre_vote;
    message.term = value.term.value();
    message.candidate = value.candidate.str();
    message.last_index = value.last_index.value();
    message.last_term = value.last_term.value();
    return wire::encode_frame(std::move(message));
}

std::vector<std::uint8_t> frame_of(const vote_reply& value)
{
    wire::vote_reply_message message;
    message.pre_vote = value.pre_vote;
    message.term = value.term.value();
    message.voter = value.voter.str();
    message.granted = value.granted;
    return wire::encode_frame(std::move(message));
}

std::vector<std::uint8_t> frame_of(const append_request& value)
{
    wire::append_request_message message;
    message.term = value.term.value();
    message.leader = value.leader.str();
    message.previous_index = value.previous_index.value();
    message.previous_term = value.previous_term.value();
    message.commit_index = value.commit_index.value();
    message.round = value.round;
    for (const storage::log_entry& entry : value.entries) {
        auto packed = std::make_unique<wire::log_entry_message>();
        packed->term = entry.term.value();
        packed->index = entry.index.value();
        packed->kind = static_cast<wire::log_entry_kind>(entry.kind);
        packed->data = entry.data;
        message.entries.push_back(std::move(packed));
    }
    return wire::encode_frame(std::move(message));
}

std::vector<std::uint8_t> frame_of(const append_reply& value)
{
    wire::append_reply_message message;
    message.term = value.term.value();
    message.follower = value.follower.str();
    message.success = value.success;
    message.match_index = value.match_index.value();
    message.round = value.round;
    return wire::encode_frame(std::move(message));
}

std::vector<std::uint8_t> frame_of(const snapshot_chunk& value)
{
    wire::snapshot_chunk_message message;
    message.term = value.term.value();
    message.leader = value.leader.str();
    message.last_index = value.last_index.value();
    message.last_term = value.last_term.value();
    message.offset = value.offset;
    message.total = value.total;
    message.membership = value.membership;
    message.data = value.data;
    message.round = value.round;
    return wire::encode_frame(std::move(message));
}

std::vector<std::uint8_t> frame_of(const snapshot_reply& value)
{
    wire::snapshot_reply_message message;
    message.term = value.term.value();
    message.follower = value.follower.str();
    message.last_index = value.last_index.value();
    message.next_offset = value.next_offset;
    message.round = value.round;
    return wire::encode_frame(std::move(message));
}

base::member_id id_of(const flatbuffers::String* text)
{
    return text == nullptr ? base::member_id() : base::member_id(text->str());
}

std::vector<std::uint8_t> bytes_of(const flatbuffers::Vector<std::uint8_t>* bytes)
{
    return bytes == nullptr ? std::vector<std::uint8_t>()
                            : std::vector<std::uint8_t>(bytes->begin(), bytes->end());
}

std::optional<message_body> from_append(const wire::append_request& message)
{
    append_request value;
    value.term = base::term(message.term());
    value.leader = id_of(message.leader());
    value.previous_index = base::log_index(message.previous_index());
    value.previous_term = base::term(message.previous_term());
    value.commit_index = base::log_index(message.commit_index());
    value.round = message.round();
    if (message.entries() != nullptr) {
        for (const wire::log_entry* entry : *message.entries()) {
            if (entry->kind() > wire::log_entry_kind::MAX) {
                return std::nullopt;
            }
            value.entries.push_back({base::term(entry->term()),
                                     base::log_index(entry->index()),
                                     static_cast<storage::entry_kind>(entry->kind()),
                                     bytes_of(entry->data())});
        }
    }
    if (value.leader.empty()) {
        return std::nullopt;
    }
    return value;
}

std::optional<message_body> from_chunk(const wire::snapshot_chunk& message)
{
    snapshot_chunk value;
    value.term = base::term(message.term());
    value.leader = id_of(message.leader());
    value.last_index = base::log_index(message.last_index());
    value.last_term = base::term(message.last_term());
    value.offset = message.offset();
    value.total = message.total();
    value.membership = bytes_of(message.membership());
    value.data = bytes_of(message.data());
    value.round = message.round();
    if (value.leader.empty()) {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::vector<std::uint8_t> to_frame(const message_body& message)
{
    return std::visit([](const auto& value) { return frame_of(value); }, message);
}

std::optional<message_body> from_envelope(const wire::envelope& envelope)
{
    if (const auto* request = envelope.body_as_vote_request()) {
        return vote_request{
            request->pre_vote(), base::term(request->term()), id_of(request->candidate()),
            base::log_index(request->last_index()), base::term(request->last_term())};
    }
    if (const auto* reply = envelope.body_as_vote_reply()) {
        return vote_reply{reply->pre_vote(), base::term(reply->term()),
                          id_of(reply->voter()), reply->granted()};
    }
    if (const auto* request = envelope.body_as_append_request()) {
        return from_append(*request);
    }
    if (const auto* reply = envelope.body_as_append_reply()) {
        return append_reply{base::term(reply->term()), id_of(reply->follower()),
                            reply->success(), base::log_index(reply->match_index()),
                            reply->round()};
    }
    if (const auto* chunk = envelope.body_as_snapshot_chunk()) {
        return from_chunk(*chunk);
    }
    if (const auto* reply = envelope.body_as_snapshot_reply()) {
        return snapshot_reply{base::term(reply->term()), id_of(reply->follower()),
                              base::log_index(reply->last_index()), reply->next_offset(),
                              reply->round()};
    }
    return std::nullopt;
}

bool is_reply(const message_body& message)
{
    return std::holds_alternative<vote_reply>(message) ||
           std::holds_alternative<append_reply>(message) ||
           std::holds_alternative<snapshot_reply>(message);
}

} // namespace curranthoist::consensus
