#include "curranthoist/cored/core_program.hpp"

#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/cored/core_process.hpp"
#include "curranthoist/cored/founding_phase.hpp"
#include "curranthoist/cored/observer_process.hpp"
#include "curranthoist/storage/write_probe.hpp"

#include <utility>

namespace curranthoist::cored {

namespace {

// A full disk has room again when somebody has made some; a look costs one sync.
constexpr double disk_retry_s = 1.0;

platform::node_settings checked(platform::node_settings settings)
{
    base::findings found;
    if (!settings.operators) {
        found.add("settings", "the address for operators is missing");
    }
    if (settings.founds_deployment && settings.seeds.empty()) {
        found.add("settings", "the first start needs a seed");
    }
    found.throw_if_any();
    return settings;
}

} // namespace

core_program::core_program(ev::loop_ref loop, platform::node_settings settings)
    : loop_(loop)
    , settings_(checked(std::move(settings)))
    , start_timer_(loop)
{
    start_timer_.set<core_program, &core_program::on_member_start>(this);
    if (settings_.data_folder.empty()) {
        observer_ = std::make_unique<observer_process>(loop_, settings_, choice_);
    }
    else if (settings_.founds_deployment && !core_process::has_identity(settings_) &&
             storage::write_failure(settings_.data_folder).empty()) {
        founding_ = std::make_unique<founding_phase>(
            loop_, settings_, choice_,
            [this](const base::endpoint& founder) { on_founder(founder); });
    }
    else {
        start_member();
    }
}

core_program::~core_program() = default;

void core_program::on_founder(const base::endpoint& founder)
{
    founder_ = founder;
    start_timer_.start(0.0);
}

void core_program::on_member_start(ev::timer& /*watcher*/, int /*events*/)
{
    founding_.reset();
    start_member();
}

void core_program::start_member()
{
    const std::string failure = storage::write_failure(settings_.data_folder);
    if (failure.empty()) {
        observer_.reset();
        member_ = std::make_unique<core_process>(loop_, settings_, choice_, founder_);
        return;
    }
    if (!observer_) {
        log_.error("event=disk_unusable reason=\"" + failure +
                   "\" action=\"observing until it takes writes\"");
        observer_ = std::make_unique<observer_process>(loop_, settings_, choice_);
    }
    start_timer_.start(disk_retry_s);
}

void core_program::stop()
{
    if (member_) {
        member_->stop();
    }
    else {
        loop_.break_loop(ev::ALL);
    }
}

std::string core_program::metrics_text()
{
    return member_ ? member_->metrics_text() : std::string();
}

void core_program::reload(const platform::node_settings& settings)
{
    settings_.seeds = settings.seeds;
    if (member_) {
        member_->reload(settings);
    }
    if (observer_) {
        observer_->reload(settings);
    }
}

} // namespace curranthoist::cored
