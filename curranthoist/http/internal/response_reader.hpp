#pragma once

#include "curranthoist/http/internal/response_head_check.hpp"
#include "curranthoist/http/target_call.hpp"
#include "curranthoist/http/target_result.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <http_parser.h>

namespace curranthoist::http::internal {

// Reads the response to one call from the bytes of its connection, with http_parser.
//
//     response_reader reader(call, result);
//     if (const auto outcome = reader.read(bytes)) { ... }   // the call has ended
class response_reader
{
public:
    // Fills `result`; both must outlive the reader. Without `memory` only the limits of
    // the call hold.
    response_reader(const target_call& call, target_result& result,
                    std::shared_ptr<memory_account> memory = nullptr);
    response_reader(const response_reader&) = delete;
    response_reader& operator=(const response_reader&) = delete;

    // Refuses a success that names no request.
    void require_id() { requires_id_ = true; }

    // Takes the next bytes. Returns the outcome once the response is complete or can't
    // become one.
    std::optional<call_outcome> read(std::string_view bytes);
    // The connection has ended, in order or with an error.
    call_outcome finish(bool in_order);

    // True if the connection can take another request: the response is complete, both
    // sides keep the connection, and no byte followed it.
    [[nodiscard]] bool may_keep_connection() const { return keep_; }

private:
    static int on_status_begin(http_parser* parser);
    static int on_field(http_parser* parser, const char* data, std::size_t size);
    static int on_value(http_parser* parser, const char* data, std::size_t size);
    static int on_headers_complete(http_parser* parser);
    static int on_body(http_parser* parser, const char* data, std::size_t size);
    static int on_complete(http_parser* parser);
    static response_reader& of(http_parser* parser);

    void store_header();
    // Whether the head may have so many more bytes.
    bool accept_header_bytes(std::size_t size);
    // Whether the body may have so many more bytes.
    bool accept_body_bytes(std::size_t size);
    // Whether the response that has begun can be read past.
    [[nodiscard]] bool may_skip() const;
    [[nodiscard]] bool names_another_request() const;
    [[nodiscard]] bool lacks_required_id() const;
    [[nodiscard]] bool has_announced_size() const;
    // Whether the body is transferred in a coding that this client does not decode.
    [[nodiscard]] bool has_unknown_coding() const;
    [[nodiscard]] call_outcome complete_outcome() const;

    const target_call& call_;
    target_result& result_;
    std::shared_ptr<memory_account> memory_;
    http_parser parser_{};
    response_head_check head_;
    // Bytes read so far, and those of them in header lines and trailers.
    std::size_t received_bytes_ = 0;
    std::size_t header_bytes_ = 0;
    // Of the body, if the head says it.
    std::optional<std::size_t> announced_bytes_;
    std::string field_;
    std::string value_;
    bool in_value_ = false;
    // Fields that come now are trailers.
    bool has_head_ = false;
    bool malformed_ = false;
    // An interim or dropped response is complete; another one follows.
    bool another_follows_ = false;
    bool requires_id_ = false;
    bool begun_ = false;
    bool complete_ = false;
    bool mismatched_ = false;
    // The response that is being read names another request, and is dropped.
    bool skipping_ = false;
    std::size_t skipped_ = 0;
    std::size_t skipped_bytes_ = 0;
    bool too_large_ = false;
    // The end of the body does not follow from a length or from chunks.
    bool ends_with_connection_ = false;
    bool keep_ = false;
};

} // namespace curranthoist::http::internal
