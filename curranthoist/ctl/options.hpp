#pragma once

#include <string>
#include <vector>

namespace curranthoist::ctl {

// What the command line says.
struct options
{
    // "address:port" of control processes' operators' HTTP.
    std::vector<std::string> controls;
    std::string operator_name;
    // Empty: generate one for each intent.
    std::string intent_id;
    bool json = false;
    bool yes = false;
    // An intent as JSON, or as a kind and key=value words.
    std::vector<std::string> words;
    // A file with one intent or a list of them.
    std::string file;
    // "address:port" of processes' metrics, for `team` and `rollout`.
    std::vector<std::string> metrics;
    // For `explain`, `story`, `check`, `team` and `rollout`: a decision, a request, a
    // file, a team, a service.
    std::string subject;
    // For `check`: a file with the document in force.
    std::string against;
};

} // namespace curranthoist::ctl
