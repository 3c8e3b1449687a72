#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/ctl/check_command.hpp"
#include "curranthoist/ctl/commands.hpp"
#include "curranthoist/ctl/rollout_command.hpp"
#include "curranthoist/ctl/story.hpp"
#include "curranthoist/ctl/team_command.hpp"

#include <CLI/CLI.hpp>
#include <curl/curl.h>

#include <iostream>
#include <string>

namespace {

using curranthoist::ctl::commands;
using curranthoist::ctl::exit_code;
using curranthoist::ctl::options;

constexpr const char* footer = R"(Intents: a JSON object, or a kind and key=value words:
  curranthoist-ctl --control 10.0.0.1:8081 apply zone_out zone=nadi

Exit codes:
  0  done
  2  mistakes in the command line or in an intent
  3  the rules refuse the intent
  4  the configuration changed since the plan, or the intent id was used before
  5  no leader answered; an intent that was sent may have been accepted, so send it
     again with the same --intent-id
  6  not confirmed
  7  explain: no such decision is kept; story: no line names the request;
     team, rollout: no process that answered knows it
  8  check: the document has errors, so the core would refuse it
  9  check: the document or the one in force can't be read)";

std::string check_control(const std::string& text)
{
    return curranthoist::base::endpoint::parse(text)
               ? std::string()
               : "'" + text + "' is not an IPv4 address and port";
}

void add_intent_options(CLI::App& command, options& chosen)
{
    command.add_option("intent", chosen.words, "The intent");
    command.add_option("--file", chosen.file, "JSON file with one intent or a list");
}

void add_options(CLI::App& app, options& chosen)
{
    app.add_option("--control", chosen.controls,
                   "address:port of a control process; repeat it for each of them. Every "
                   "command but story, check, team and rollout needs it")
        ->check(check_control);
    app.add_option("--operator", chosen.operator_name, "Who decides; needed by apply");
    app.add_option("--intent-id", chosen.intent_id,
                   "Id of the intent; the same id repeats the same intent");
    app.add_flag("--json", chosen.json, "Print JSON");
    app.add_flag("--yes", chosen.yes, "Confirm plans without asking");
}

exit_code run(const std::string& name, const options& chosen)
{
    if (name == "story") {
        return curranthoist::ctl::print_story(std::cout, chosen.words, chosen.subject) > 0
                   ? exit_code::done
                   : exit_code::not_found;
    }
    if (name == "check") {
        return curranthoist::ctl::check(chosen);
    }
    if (name == "team") {
        return curranthoist::ctl::show_team(chosen);
    }
    if (name == "rollout") {
        return curranthoist::ctl::show_rollout(chosen);
    }
    commands all(chosen);
    if (name == "plan") {
        return all.plan();
    }
    if (name == "apply") {
        return all.apply();
    }
    if (name == "status") {
        return all.status();
    }
    if (name == "configuration") {
        return all.configuration();
    }
    return name == "decisions" ? all.decisions() : all.explain();
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Operates a curranthoist deployment.", "curranthoist-ctl");
    options chosen;
    add_options(app, chosen);
    app.footer(footer);
    app.require_subcommand(1);
    app.fallthrough();
    add_intent_options(*app.add_subcommand("plan", "Show what an intent would do"),
                       chosen);
    auto* apply = app.add_subcommand("apply", "Plan, show and confirm intents");
    add_intent_options(*apply, chosen);
    app.add_subcommand("status", "Members, VMs and who lags");
    app.add_subcommand("configuration", "The configuration in force");
    app.add_subcommand("decisions", "The kept decisions");
    app.add_subcommand("explain", "Show one decision")
        ->add_option("subject", chosen.subject, "A revision or an intent id")
        ->required();
    auto* story =
        app.add_subcommand("story", "Print what log files say of one request, in order");
    story->add_option("request", chosen.subject, "The request's id")->required();
    story->add_option("logs", chosen.words, "Log files of all VMs")->required();
    auto* check = app.add_subcommand(
        "check", "Check a configuration document of the platform before it is sent");
    check->add_option("document", chosen.subject, "The document's file")->required();
    check->add_option("--against", chosen.against,
                      "File with the configuration in force; --control reads it from "
                      "there instead");
    auto* team = app.add_subcommand(
        "team", "Show a team's limit, credit and use, and why it was refused");
    team->add_option("team", chosen.subject, "The team's name")->required();
    team->add_option("--metrics", chosen.metrics,
                     "address:port of a process's metrics; repeat it for each core "
                     "process and front")
        ->required()
        ->check(check_control);
    auto* rollout = app.add_subcommand(
        "rollout", "Show a service's running roll-out and what it is judged by");
    rollout->add_option("service", chosen.subject, "The service's name")->required();
    rollout
        ->add_option("--metrics", chosen.metrics,
                     "address:port of a core process's metrics; repeat it for each")
        ->required()
        ->check(check_control);
    try {
        app.parse(argc, argv);
        if (!chosen.against.empty() && !chosen.controls.empty()) {
            throw CLI::ExcludesError("--against", "--control");
        }
        const bool reads_no_control =
            story->parsed() || check->parsed() || team->parsed() || rollout->parsed();
        if (!reads_no_control && chosen.controls.empty()) {
            throw CLI::RequiredError("--control");
        }
        if (apply->parsed() && chosen.operator_name.empty()) {
            throw CLI::RequiredError("--operator");
        }
    }
    catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : static_cast<int>(exit_code::usage);
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    exit_code result = exit_code::usage;
    try {
        result = run(app.get_subcommands().front()->get_name(), chosen);
    }
    catch (const curranthoist::base::findings_error& error) {
        std::cerr << error.what();
    }
    catch (const std::exception& error) {
        std::cerr << "error: " << error.what() << "\n";
        result = exit_code::unavailable;
    }
    curl_global_cleanup();
    return static_cast<int>(result);
}
