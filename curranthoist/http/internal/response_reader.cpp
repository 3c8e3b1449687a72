#include "curranthoist/http/internal/response_reader.hpp"

#include "curranthoist/http/internal/reserve_exactly.hpp"
#include "curranthoist/http/status.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <limits>
#include <utility>

namespace curranthoist::http::internal {

namespace {

// Tells http_parser that no body follows the headers.
constexpr int skip_body = 1;
constexpr unsigned first_final_status = 200;
// No request asks for another protocol.
constexpr unsigned switching_protocols = 101;
constexpr std::string_view transfer_coding_header = "Transfer-Encoding";
// A target that sends more responses to other requests than this is not to be trusted
// with the own one.
constexpr std::size_t max_skipped = 3;
// Maximum size of the header lines and trailers of a response, each with its record.
constexpr std::size_t max_header_bytes = std::size_t{64} * 1024;
// The memory that a header takes besides its text: short ones without end would take
// many times what was read.
constexpr std::size_t header_record_bytes = 128;
// Maximum number of bytes read for one response, as a multiple of its longest body:
// heads, interim responses and the framing of chunks can go on without end.
constexpr std::size_t max_received_factor = 2;

bool equal_names(std::string_view a, std::string_view b)
{
    return !header_less()(a, b) && !header_less()(b, a);
}

} // namespace

response_reader::response_reader(const target_call& call, target_result& result,
                                 std::shared_ptr<memory_account> memory)
    : call_(call)
    , result_(result)
    , memory_(std::move(memory))
{
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
}

response_reader& response_reader::of(http_parser* parser)
{
    return *static_cast<response_reader*>(parser->data);
}

std::optional<call_outcome> response_reader::read(std::string_view bytes)
{
    static const http_parser_settings settings = [] {
        http_parser_settings result{};
        http_parser_settings_init(&result);
        result.on_message_begin = &on_status_begin;
        result.on_header_field = &on_field;
        result.on_header_value = &on_value;
        result.on_headers_complete = &on_headers_complete;
        result.on_body = &on_body;
        result.on_message_complete = &on_complete;
        return result;
    }();
    begun_ = begun_ || !bytes.empty();
    received_bytes_ += bytes.size();
    if (received_bytes_ > call_.max_body_bytes * max_received_factor + max_header_bytes) {
        return call_outcome::too_large;
    }
    while (true) {
        const std::size_t size = head_.is_complete() ? bytes.size() : head_.read(bytes);
        if (head_.is_malformed()) {
            return call_outcome::malformed;
        }
        const std::size_t taken =
            http_parser_execute(&parser_, &settings, bytes.data(), size);
        bytes.remove_prefix(std::min(taken, size));
        if (complete_) {
            // What follows a response belongs to no request, and a target that sent one
            // response too many may send another.
            keep_ = keep_ && bytes.empty() && skipped_ == 0;
            return complete_outcome();
        }
        if (malformed_) {
            return call_outcome::malformed;
        }
        if (mismatched_) {
            return call_outcome::mismatched;
        }
        if (too_large_) {
            return call_outcome::too_large;
        }
        if (another_follows_) {
            another_follows_ = false;
            http_parser_pause(&parser_, 0);
            head_.restart();
        }
        if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK) {
            return call_outcome::truncated;
        }
        if (bytes.empty()) {
            return std::nullopt;
        }
    }
}

call_outcome response_reader::finish(bool in_order)
{
    if (!begun_) {
        return skipped_ > 0 ? call_outcome::mismatched : call_outcome::connection_broken;
    }
    if (in_order && ends_with_connection_) {
        // http_parser takes an empty read for the end of the connection.
        if (const auto outcome = read({})) {
            return *outcome;
        }
    }
    return call_outcome::truncated;
}

int response_reader::on_status_begin(http_parser* parser)
{
    response_reader& self = of(parser);
    self.result_.headers.clear();
    self.field_.clear();
    self.value_.clear();
    self.in_value_ = false;
    self.has_head_ = false;
    // Also for what follows a dropped response in the same bytes.
    self.begun_ = true;
    return 0;
}

int response_reader::on_field(http_parser* parser, const char* data, std::size_t size)
{
    response_reader& self = of(parser);
    // Bytes of a name that has begun continue it.
    const bool begins = self.in_value_ || self.field_.empty();
    if (self.in_value_) {
        self.store_header();
    }
    if (!self.accept_header_bytes(size + (begins ? header_record_bytes : 0))) {
        return -1;
    }
    // Trailers are dropped: what decides about a response comes before its body.
    if (!self.has_head_) {
        self.field_.append(data, size);
    }
    return 0;
}

int response_reader::on_value(http_parser* parser, const char* data, std::size_t size)
{
    response_reader& self = of(parser);
    if (!self.accept_header_bytes(size)) {
        return -1;
    }
    if (!self.has_head_) {
        self.in_value_ = true;
        self.value_.append(data, size);
    }
    return 0;
}

bool response_reader::accept_header_bytes(std::size_t size)
{
    header_bytes_ += size;
    too_large_ = header_bytes_ > max_header_bytes;
    return !too_large_;
}

bool response_reader::accept_body_bytes(std::size_t size)
{
    const std::size_t total = result_.body.size() + size;
    too_large_ = total > call_.max_body_bytes;
    if (too_large_ || total <= result_.body.capacity()) {
        return !too_large_;
    }
    // An announced length alone makes the process allocate nothing.
    const std::size_t longest =
        std::min(announced_bytes_.value_or(call_.max_body_bytes), call_.max_body_bytes);
    const std::size_t capacity =
        std::max(total, std::min(longest, result_.body.capacity() * 2));
    if (memory_) {
        if (!result_.held_memory) {
            result_.held_memory = std::make_shared<memory_account::reservation>(memory_);
        }
        too_large_ = !result_.held_memory->grow(capacity);
    }
    if (!too_large_) {
        reserve_exactly(result_.body, capacity);
    }
    return !too_large_;
}

void response_reader::store_header()
{
    const bool is_coding = equal_names(field_, transfer_coding_header);
    const bool is_new =
        result_.headers.emplace(std::move(field_), std::move(value_)).second;
    malformed_ = malformed_ || (is_coding && !is_new);
    field_.clear();
    value_.clear();
    in_value_ = false;
}

bool response_reader::names_another_request() const
{
    const auto named = result_.headers.find(call_.id_header);
    const auto sent = call_.headers.find(call_.id_header);
    return named != result_.headers.end() && sent != call_.headers.end() &&
           named->second != sent->second;
}

bool response_reader::lacks_required_id() const
{
    const bool success =
        result_.status >= status::ok && result_.status < status::first_redirect;
    return requires_id_ && success && call_.headers.contains(call_.id_header) &&
           !result_.headers.contains(call_.id_header);
}

int response_reader::on_headers_complete(http_parser* parser)
{
    response_reader& self = of(parser);
    if (self.in_value_) {
        self.store_header();
    }
    self.has_head_ = true;
    self.result_.status = parser->status_code;
    self.malformed_ = self.malformed_ || self.has_unknown_coding() ||
                      parser->status_code == switching_protocols;
    if (self.malformed_) {
        return -1;
    }
    if (parser->status_code < first_final_status) {
        // An interim response has no body, whatever its head says.
        return skip_body;
    }
    const bool bodiless = parser->status_code == status::no_content ||
                          parser->status_code == status::not_modified ||
                          equal_names(self.call_.method, "HEAD");
    const bool has_length =
        (parser->flags & F_CHUNKED) != 0 ||
        parser->content_length != std::numeric_limits<std::uint64_t>::max();
    self.ends_with_connection_ = !bodiless && !has_length;
    self.announced_bytes_ = has_length && (parser->flags & F_CHUNKED) == 0
                                ? std::optional<std::size_t>(parser->content_length)
                                : std::nullopt;
    self.skipping_ = self.names_another_request();
    self.mismatched_ = (self.skipping_ && !self.may_skip()) || self.lacks_required_id();
    if (self.mismatched_) {
        return -1;
    }
    return bodiless ? skip_body : 0;
}

bool response_reader::may_skip() const
{
    return call_.skips_other_responses && skipped_ < max_skipped &&
           !ends_with_connection_ && http_should_keep_alive(&parser_) != 0;
}

int response_reader::on_body(http_parser* parser, const char* data, std::size_t size)
{
    response_reader& self = of(parser);
    if (self.skipping_) {
        self.skipped_bytes_ += size;
        self.too_large_ = self.skipped_bytes_ > self.call_.max_body_bytes;
        return self.too_large_ ? -1 : 0;
    }
    if (!self.accept_body_bytes(size)) {
        return -1;
    }
    self.result_.body.append(data, size);
    return 0;
}

int response_reader::on_complete(http_parser* parser)
{
    response_reader& self = of(parser);
    if (parser->status_code < first_final_status) {
        // An interim response; the final one follows on the same connection.
        self.another_follows_ = true;
        http_parser_pause(parser, 1);
        return 0;
    }
    if (self.skipping_) {
        self.skipping_ = false;
        ++self.skipped_;
        self.begun_ = false;
        self.another_follows_ = true;
        http_parser_pause(parser, 1);
        return 0;
    }
    self.complete_ = true;
    self.keep_ = http_should_keep_alive(parser) != 0;
    // Stops here, so that bytes behind the response are seen.
    http_parser_pause(parser, 1);
    return 0;
}

bool response_reader::has_unknown_coding() const
{
    const auto found = result_.headers.find(transfer_coding_header);
    if (found == result_.headers.end()) {
        return false;
    }
    std::string_view coding = found->second;
    coding = coding.substr(0, coding.find_last_not_of(" \t") + 1);
    return !equal_names(coding, "chunked");
}

bool response_reader::has_announced_size() const
{
    const auto announced = result_.header("Result-Length");
    if (!announced) {
        return true;
    }
    std::size_t size = 0;
    const char* const end = announced->data() + announced->size();
    const auto parsed = std::from_chars(announced->data(), end, size);
    return parsed.ec == std::errc() && parsed.ptr == end && size == result_.body.size();
}

call_outcome response_reader::complete_outcome() const
{
    const bool whole = !ends_with_connection_ || call_.accept_unframed;
    return whole && has_announced_size() ? call_outcome::ok : call_outcome::truncated;
}

} // namespace curranthoist::http::internal
