#include "curranthoist/http/internal/curl_handle_setup.hpp"

#include "curranthoist/http/status.hpp"

#include <charconv>
#include <string>
#include <string_view>

namespace curranthoist::http::internal {

namespace {

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blank = " \t\r\n";
    const std::size_t begin = text.find_first_not_of(blank);
    if (begin == std::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(blank) - begin + 1);
}

bool equal_names(std::string_view a, std::string_view b)
{
    return !header_less()(a, b) && !header_less()(b, a);
}

// Returns false if the header shows that the response belongs to another request.
bool note_header(running_call& current, std::string_view name, std::string_view value)
{
    if (equal_names(name, "Content-Length") || equal_names(name, "Transfer-Encoding")) {
        current.has_length = true;
    }
    if (equal_names(name, current.call.id_header)) {
        const auto sent = current.call.headers.find(current.call.id_header);
        current.mismatched = sent != current.call.headers.end() && sent->second != value;
    }
    current.result.headers.emplace(name, value);
    return !current.mismatched;
}

std::size_t header_callback(char* data, std::size_t unit, std::size_t count, void* call)
{
    auto& current = *static_cast<running_call*>(call);
    const std::string_view line(data, unit * count);
    current.has_header = true;
    if (line.starts_with("HTTP/")) {
        // A new header block follows an interim response, such as 100.
        current.result.headers.clear();
        current.has_length = false;
        return line.size();
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
        return line.size();
    }
    const bool wanted =
        note_header(current, line.substr(0, colon), trimmed(line.substr(colon + 1)));
    return wanted ? line.size() : 0;
}

std::size_t body_callback(char* data, std::size_t unit, std::size_t count, void* call)
{
    auto& current = *static_cast<running_call*>(call);
    const std::size_t size = unit * count;
    std::string& body = current.result.body;
    if (body.size() + size > current.call.max_body_bytes) {
        current.too_large = true;
        return 0;
    }
    body.append(data, size);
    return size;
}

void set_common_rules(CURL* handle)
{
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION,
                     static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(handle, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(handle, CURLOPT_NETRC, static_cast<long>(CURL_NETRC_IGNORED));
    curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
}

void add_headers(running_call& current)
{
    // An empty Expect keeps libcurl from waiting for 100 before it sends a long body.
    curl_slist* list = curl_slist_append(nullptr, "Expect:");
    // An empty value keeps libcurl from adding a header that the caller did not send.
    for (const char* const added : {"Accept", "Content-Type"}) {
        if (!current.call.headers.contains(std::string_view(added))) {
            list = curl_slist_append(list, (std::string(added) + ":").c_str());
        }
    }
    for (const auto& [name, value] : current.call.headers) {
        std::string line = name;
        line.append(": ").append(value);
        list = curl_slist_append(list, line.c_str());
    }
    current.header_list = list;
    curl_easy_setopt(current.handle, CURLOPT_HTTPHEADER, list);
}

void add_body(const running_call& current)
{
    const std::string& method = current.call.method;
    if (method == "HEAD") {
        curl_easy_setopt(current.handle, CURLOPT_NOBODY, 1L);
        return;
    }
    const bool has_body = !current.call.body.empty() || method == "POST" ||
                          method == "PUT" || method == "PATCH";
    if (!has_body) {
        curl_easy_setopt(current.handle, CURLOPT_CUSTOMREQUEST, method.c_str());
        return;
    }
    curl_easy_setopt(current.handle, CURLOPT_POST, 1L);
    if (method != "POST") {
        curl_easy_setopt(current.handle, CURLOPT_CUSTOMREQUEST, method.c_str());
    }
    curl_easy_setopt(current.handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(current.call.body.size()));
    curl_easy_setopt(current.handle, CURLOPT_POSTFIELDS, current.call.body.data());
}

bool has_announced_size(const running_call& current)
{
    const auto announced = current.result.header("Result-Length");
    if (!announced) {
        return true;
    }
    std::size_t size = 0;
    const char* const end = announced->data() + announced->size();
    const auto parsed = std::from_chars(announced->data(), end, size);
    return parsed.ec == std::errc() && parsed.ptr == end &&
           size == current.result.body.size();
}

bool is_whole(const running_call& current)
{
    const unsigned status = current.result.status;
    const bool bodiless =
        status == http::status::no_content || status == http::status::not_modified;
    return (bodiless || current.has_length || current.call.accept_unframed ||
            current.call.method == "HEAD") &&
           has_announced_size(current);
}

} // namespace

void set_up_handle(running_call& current, const base::endpoint& remote)
{
    CURL* const handle = current.handle;
    set_common_rules(handle);
    const std::string url = "http://" + remote.str() + current.call.path;
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    add_headers(current);
    add_body(current);
    if (current.call.fresh_connection) {
        curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
    }
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &header_callback);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &current);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &body_callback);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &current);
}

call_outcome outcome_of(const running_call& current, CURLcode code)
{
    if (current.too_large) {
        return call_outcome::too_large;
    }
    if (current.mismatched) {
        return call_outcome::mismatched;
    }
    if (code == CURLE_OK) {
        return is_whole(current) ? call_outcome::ok : call_outcome::truncated;
    }
    if (code == CURLE_OPERATION_TIMEDOUT) {
        return call_outcome::timed_out;
    }
    if (current.has_header) {
        return call_outcome::truncated;
    }
    return code == CURLE_COULDNT_CONNECT && !current.sent
               ? call_outcome::could_not_connect
               : call_outcome::connection_broken;
}

} // namespace curranthoist::http::internal
