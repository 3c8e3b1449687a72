#pragma once

#include <nlohmann/json.hpp>

namespace curranthoist::ctl {

// Print the control process's JSON as text on standard output.
void print_plan_text(const nlohmann::json& plan);
void print_status_text(const nlohmann::json& status);
void print_configuration_text(const nlohmann::json& configuration);
void print_decision_text(const nlohmann::json& decision);
void print_decisions_text(const nlohmann::json& decisions);

// Prints an error response, with its findings and changes, on standard error.
void print_error_text(const nlohmann::json& error);

} // namespace curranthoist::ctl
