#include "curranthoist/ctl/control_client.hpp"

#include "curranthoist/base/monotonic_clock.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <stdexcept>
#include <string_view>
#include <thread>
#include <utility>

namespace curranthoist::ctl {

namespace {

constexpr long connect_limit_ms = 1000;
// Longer than a control process waits for the result of a confirmed intent (5 s).
constexpr long exchange_limit_ms = 7000;
constexpr int max_redirects = 3;
constexpr std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;
constexpr auto pause = std::chrono::milliseconds(200);
constexpr long redirect = 307;
constexpr long unavailable = 503;

std::size_t collect(char* data, std::size_t size, std::size_t count, void* target)
{
    auto& body = *static_cast<std::string*>(target);
    const std::size_t bytes = size * count;
    if (body.size() + bytes > max_body_bytes) {
        return 0;
    }
    body.append(data, bytes);
    return bytes;
}

} // namespace

control_client::control_client(std::vector<std::string> controls)
    : controls_(std::move(controls))
    , handle_(curl_easy_init())
{
    if (!handle_) {
        throw std::runtime_error("libcurl can't be initialised");
    }
}

std::optional<control_client::response> control_client::call(const std::string& method,
                                                             const std::string& path,
                                                             const std::string& body,
                                                             base::duration limit)
{
    const base::monotonic_clock clock;
    const base::instant end = clock.now() + limit;
    while (true) {
        if (auto found = try_all(method, path, body)) {
            return found;
        }
        if (clock.now() >= end) {
            return std::nullopt;
        }
        std::this_thread::sleep_for(pause);
    }
}

std::optional<control_client::response> control_client::try_all(const std::string& method,
                                                                const std::string& path,
                                                                const std::string& body)
{
    failures_.clear();
    for (std::size_t i = 0; i < controls_.size(); ++i) {
        if (auto found = try_one("http://" + controls_[i] + path, path, method, body)) {
            // The next request starts with the address that worked.
            std::swap(controls_[0], controls_[i]);
            return found;
        }
    }
    return std::nullopt;
}

std::optional<control_client::response> control_client::try_one(std::string url,
                                                                const std::string& path,
                                                                const std::string& method,
                                                                const std::string& body)
{
    for (int hops = 0; hops <= max_redirects; ++hops) {
        std::string location;
        auto found = exchange(url, method, body, location);
        if (!found) {
            return std::nullopt;
        }
        if (found->status == unavailable) {
            failures_ += url + ": " + found->body;
            return std::nullopt;
        }
        if (found->status != redirect) {
            return found;
        }
        if (!location.starts_with("http://") || !location.ends_with(path)) {
            failures_ += url + ": redirects to an unexpected location\n";
            return std::nullopt;
        }
        url = std::move(location);
    }
    failures_ += url + ": more redirects than " + std::to_string(max_redirects) + "\n";
    return std::nullopt;
}

std::optional<control_client::response>
control_client::exchange(const std::string& url, const std::string& method,
                         const std::string& body, std::string& location)
{
    CURL* handle = handle_.get();
    response result;
    curl_easy_reset(handle);
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, connect_limit_ms);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, exchange_limit_ms);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, collect);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &result.body);
    if (method == "POST") {
        curl_easy_setopt(handle, CURLOPT_POST, 1L);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body.c_str());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(body.size()));
    }
    // Without "Expect:" libcurl waits up to 1 s for "100 Continue" before a long body.
    const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(
        curl_slist_append(curl_slist_append(nullptr, "Expect:"),
                          "Content-Type: application/json"),
        &curl_slist_free_all);
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.get());
    const CURLcode code = curl_easy_perform(handle);
    if (code != CURLE_OK) {
        failures_ += url + ": " + curl_easy_strerror(code) + "\n";
        return std::nullopt;
    }
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &result.status);
    const char* target = nullptr;
    curl_easy_getinfo(handle, CURLINFO_REDIRECT_URL, &target);
    location = target == nullptr ? "" : target;
    return result;
}

} // namespace curranthoist::ctl
