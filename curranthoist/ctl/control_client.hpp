#pragma once

#include "curranthoist/base/duration.hpp"

#include <curl/curl.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace curranthoist::ctl {

// HTTP to the control processes: tries each address and follows redirects to the leader.
class control_client
{
public:
    struct response
    {
        long status = 0;
        std::string body;
    };

    // `controls` are "address:port".
    explicit control_client(std::vector<std::string> controls);

    // One request to the leader. Repeats it until a leader answers or `limit` is over;
    // with a limit of 0 each address is tried once. Nothing if no leader answered. The
    // request must be safe to repeat.
    std::optional<response> call(const std::string& method, const std::string& path,
                                 const std::string& body, base::duration limit);
    // Why the last attempt at each address failed, one a line.
    [[nodiscard]] const std::string& failures() const { return failures_; }

private:
    struct handle_closer
    {
        void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
    };

    std::optional<response> try_all(const std::string& method, const std::string& path,
                                    const std::string& body);
    std::optional<response> try_one(std::string url, const std::string& path,
                                    const std::string& method, const std::string& body);
    // One exchange; `location` is set for a redirect.
    std::optional<response> exchange(const std::string& url, const std::string& method,
                                     const std::string& body, std::string& location);

    std::vector<std::string> controls_;
    std::unique_ptr<CURL, handle_closer> handle_;
    std::string failures_;
};

} // namespace curranthoist::ctl
