#include "curranthoist/ctl/metrics_source.hpp"

#include "curranthoist/ctl/control_client.hpp"

#include <iostream>

namespace curranthoist::ctl {

exit_code read_metrics(const std::vector<std::string>& addresses,
                       const std::function<void(std::string_view)>& on_metrics)
{
    constexpr long ok = 200;
    exit_code result = exit_code::done;
    for (const std::string& address : addresses) {
        control_client client({address});
        const auto response = client.call("GET", "/metrics", "", base::duration());
        if (response && response->status == ok) {
            on_metrics(response->body);
            continue;
        }
        std::cerr << "error: " << address << ": "
                  << (response ? "status " + std::to_string(response->status) + "\n"
                               : client.failures());
        result = exit_code::unavailable;
    }
    return result;
}

} // namespace curranthoist::ctl
