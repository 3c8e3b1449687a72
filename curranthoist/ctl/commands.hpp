#pragma once

#include "curranthoist/ctl/control_client.hpp"
#include "curranthoist/ctl/exit_code.hpp"
#include "curranthoist/ctl/options.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace curranthoist::ctl {

// The subcommands. Results go to standard output, notes and errors to standard error.
class commands
{
public:
    explicit commands(const options& chosen)
        : chosen_(chosen)
        , client_(chosen.controls)
    {}

    // Shows the plans of all named intents; each is made on the state as it is.
    exit_code plan();
    // Plans, shows and confirms each named intent in order; stops at the first that
    // fails.
    exit_code apply();
    exit_code status();
    exit_code configuration();
    exit_code decisions();
    // Shows the decision with a revision or intent id.
    exit_code explain();

private:
    // The body of a 200 response; otherwise reports the error and sets `failed`.
    std::optional<nlohmann::json> request(const std::string& method,
                                          const std::string& path,
                                          const nlohmann::json& body, exit_code& failed);
    exit_code apply_one(const nlohmann::json& intent, const std::string& id,
                        nlohmann::json& results);
    exit_code show(const std::string& path, void (*print)(const nlohmann::json& value));
    bool is_confirmed();
    void print_plan(const nlohmann::json& plan) const;

    const options& chosen_;
    control_client client_;
};

} // namespace curranthoist::ctl
