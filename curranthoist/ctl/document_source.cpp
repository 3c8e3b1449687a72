#include "curranthoist/ctl/document_source.hpp"

#include "curranthoist/base/duration.hpp"
#include "curranthoist/cored/operator_server_options.hpp"
#include "curranthoist/ctl/control_client.hpp"
#include "curranthoist/ctl/unreadable_document.hpp"

#include <cstddef>
#include <fstream>

namespace curranthoist::ctl {

std::string read_document(const std::string& file)
{
    std::ifstream input(file, std::ios::binary);
    std::string result(cored::max_operator_body_bytes + 1, '\0');
    if (input) {
        input.read(result.data(), static_cast<std::streamsize>(result.size()));
    }
    // The end of the file sets the fail bit too, an error the bad bit alone.
    if (!input.is_open() || input.bad()) {
        throw unreadable_document(file + ": can't be read");
    }
    result.resize(static_cast<std::size_t>(input.gcount()));
    return result;
}

std::string fetch_document(const std::vector<std::string>& controls)
{
    constexpr long ok = 200;
    control_client client(controls);
    auto response = client.call("GET", "/v1/configuration/get", "", base::duration());
    if (!response) {
        throw unreadable_document("no leader answered\n" + client.failures());
    }
    if (response->status != ok) {
        throw unreadable_document("the configuration in force was refused with status " +
                                  std::to_string(response->status));
    }
    return std::move(response->body);
}

} // namespace curranthoist::ctl
