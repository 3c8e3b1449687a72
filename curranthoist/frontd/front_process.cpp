#include "curranthoist/frontd/front_process.hpp"

#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/frontd/process_gauges.hpp"
#include "curranthoist/frontd/process_limits.hpp"
#include "curranthoist/http/status.hpp"

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <utility>

namespace curranthoist::frontd {

namespace {

constexpr double tick_s = 0.1;
// A configuration whose targets are cold waits for half of the time until which it must
// be in force; the other half is for its way to this VM.
constexpr std::int64_t configuration_wait_divisor = 2;
// Of a deployment whose settings say nothing of roll-outs.
constexpr base::duration default_rollback_limit{5000};
// The load balancer asks once a second and believes the second miss; then it sends no new
// connections.
constexpr base::duration balancer_delay{2500};
// What is left of the platform's stop limit when the requests that are still open get
// their final answer, and when the process ends at the latest.
constexpr base::duration stop_margin{400};
constexpr base::duration exit_margin{100};

std::vector<base::endpoint> peers_of(const platform::node_settings& settings)
{
    std::vector<base::endpoint> result;
    for (const base::endpoint& seed : settings.seeds) {
        result.push_back({seed.address, settings.first_internal_port});
    }
    return result;
}

// Where this process takes gather requests. The core process of the VM listens on the
// first internal port.
base::endpoint gather_endpoint(const platform::node_settings& settings)
{
    return {settings.address,
            static_cast<std::uint16_t>(settings.first_internal_port + 1)};
}

forwarding::target_directory::options
directory_options(const platform::node_settings& settings)
{
    forwarding::target_directory::options result;
    result.own_zone = settings.zone;
    result.own_name = settings.name;
    result.list_lag = settings.list_lag;
    result.share_lifetime = forwarding::version_share::lifetime_for(
        settings.rollback_limit.value_or(default_rollback_limit),
        coreclient::core_links::max_report_delay);
    result.contact_limit = settings.contact_limit;
    result.holds_joining_versions = settings.rollback_limit.has_value();
    result.zone_cost = settings.zone_cost;
    return result;
}

platform::node_settings checked(platform::node_settings settings)
{
    base::findings found;
    if (!settings.callers) {
        found.add("settings", "the address for callers is missing");
    }
    if (!settings.readiness) {
        found.add("settings", "the address for readiness is missing");
    }
    found.throw_if_any();
    return settings;
}

} // namespace

front_process::front_process(ev::loop_ref loop, platform::node_settings settings)
    : loop_(loop)
    , settings_(checked(std::move(settings)))
    , state_{{loop,
              forwarding::target_directory(directory_options(settings_)),
              forwarding::extra_send_budget(
                  {settings_.extra_ratio, settings_.extra_slack, settings_.extra_window}),
              target_pool(loop, response_account(settings_), descriptor_share(settings_)),
              base::random_source(std::random_device()()),
              {},
              base::logger("request"),
              {},
              1},
             forwarding::configuration_switch(settings_.configuration_limit /
                                              configuration_wait_divisor),
             forwarding::key_lease(settings_.revocation_limit),
             forwarding::team_admission(std::random_device()(),
                                        settings_.team_limit_slack)}
    , gather_links_(loop, settings_.name, state_.context.traffic)
    , gather_server_(loop, gather_endpoint(settings_), state_.context,
                     gather_port_limits(settings_))
    , upkeep_(state_, settings_.zone)
    , updates_(state_, upkeep_, gather_links_, settings_.zone, settings_.zone_cost,
               [this](const deployment::configuration& now) { set_caller_limits(now); })
    , admission_(state_, [this] { return links_->live_members() == 0; })
    , tick_(loop)
{
    task_context& context = state_.context;
    context.gather = &gather_links_;
    context.open_requests =
        forwarding::open_request_limit(open_request_options(settings_));
    context.own_name = settings_.name;
    links_ = std::make_unique<coreclient::core_links>(loop_, base::vm_id(settings_.name),
                                                      settings_.zone, peers_of(settings_),
                                                      updates_.handlers());
    links_->offer_gathering(gather_endpoint(settings_));
    callers_ = std::make_unique<http::caller_server>(
        loop_, caller_options(settings_, context.pool.shared_memory()),
        [this](http::caller_request request, http::responder answer) {
            on_request(std::move(request), std::move(answer));
        });
    readiness_ = std::make_unique<http::caller_server>(
        loop_, http::caller_server_options::for_probes(*settings_.readiness),
        [this](const http::caller_request& request, const http::responder& answer) {
            on_readiness(request, answer);
        });
    context.pool.set_connection_handler(
        [this](const base::target_id& id, std::size_t count) {
            state_.context.directory.set_connections(id, count, clock_.now());
        });
    tick_.set<front_process, &front_process::on_tick>(this);
    tick_.start(tick_s, tick_s);
    log_.info("event=started vm=" + settings_.name + " zone=" + settings_.zone.str() +
              " callers=" + settings_.callers->str());
}

void front_process::set_caller_limits(const deployment::configuration& now)
{
    callers_->set_request_limits(
        std::min(now.limits.max_header_bytes, max_caller_header_bytes),
        std::min(now.limits.max_body_bytes, max_caller_body_bytes));
    callers_->set_time_limits(now.limits.idle_timeout, now.limits.header_timeout);
    // Longer heads leave fewer connections than the process began with.
    state_.context.open_requests.set_max_requests(
        max_open_requests(callers_->max_connections()));
}

void front_process::on_request(http::caller_request request, http::responder answer)
{
    auto taken =
        admission_.take(platform::decode_caller_request(std::move(request)), answer);
    if (!taken) {
        return;
    }
    const std::uint64_t number = ++last_task_;
    auto task = std::make_shared<caller_task>(state_.context, std::move(taken->table),
                                              taken->route, std::move(taken->request),
                                              std::move(answer), std::move(taken->place));
    tasks_[number] = task;
    task->start([this, number] {
        const auto found = tasks_.find(number);
        ended_.push_back(std::move(found->second));
        tasks_.erase(found);
    });
}

bool front_process::is_ready() const
{
    if (!state_.knows_targets() || stop_begun_ != base::instant::max()) {
        return false;
    }
    // A lease that ended later leaves the VM ready: public routes go on, and the other
    // VMs most likely have lost the core as well.
    return !state_.newest_table().teams().requires_keys() || state_.key_lease.has_begun();
}

std::string front_process::metrics_text()
{
    set_gauges(state_, *callers_, *links_, tasks_.size());
    return state_.context.metrics.prometheus_text();
}

void front_process::on_readiness(const http::caller_request& request,
                                 const http::responder& answer)
{
    if (!platform::is_readiness_path(request.path)) {
        answer.respond({.status = http::status::not_found, .body = "{}"});
        return;
    }
    answer.respond(
        {.status = is_ready() ? http::status::ok : http::status::service_unavailable,
         .body = "{}"});
}

void front_process::on_tick(ev::timer& /*watcher*/, int /*events*/)
{
    const base::instant now = clock_.now();
    ended_.clear();
    gather_server_.drop_ended();
    gather_links_.check();
    state_.context.pool.drop_idle();
    state_.context.pool.retry_waiting();
    // For what targets said of themselves, and what was found out about them.
    upkeep_.withdraw_unsent(now);
    upkeep_.probe_targets(now);
    upkeep_.preconnect(now);
    updates_.switch_configuration();
    if (is_ready() != announced_ready_) {
        announced_ready_ = is_ready();
        log_.info(std::string("event=readiness_changed ready=") +
                  (announced_ready_ ? "true" : "false") +
                  " cores=" + std::to_string(links_->live_members()));
    }
    if (stop_begun_ != base::instant::max()) {
        step_stop(now);
    }
}

void front_process::reload(const platform::node_settings& settings)
{
    settings_.seeds = settings.seeds;
    links_->set_seeds(peers_of(settings_));
    log_.info("event=settings_reloaded seeds=" + std::to_string(settings_.seeds.size()));
}

void front_process::stop()
{
    if (stop_begun_ != base::instant::max()) {
        return;
    }
    stop_begun_ = clock_.now();
    admission_.close_at(stop_begun_ + balancer_delay);
    callers_->announce_close();
    links_->announce_stop();
    log_.info("event=stopping requests=" + std::to_string(tasks_.size()));
}

void front_process::expire_requests()
{
    // An ended task leaves the map.
    std::vector<std::shared_ptr<caller_task>> open;
    for (const auto& [number, task] : tasks_) {
        open.push_back(task);
    }
    for (const auto& task : open) {
        task->expire();
    }
}

void front_process::step_stop(base::instant now)
{
    const base::duration since = now - stop_begun_;
    if (since < balancer_delay) {
        return;
    }
    callers_->stop_accepting();
    callers_->close_idle();
    // By now the leader has named another gatherer.
    gather_server_.stop();
    const bool idle = !callers_->is_listening() && callers_->open_requests() == 0 &&
                      callers_->live_connections() == 0 &&
                      gather_server_.open_requests() == 0;
    if (since >= settings_.stop_limit - stop_margin) {
        expire_requests();
    }
    if (idle || since >= settings_.stop_limit - exit_margin) {
        log_.info("event=stopped requests=" + std::to_string(tasks_.size()) +
                  " connections=" + std::to_string(callers_->live_connections()));
        loop_.break_loop(ev::ALL);
    }
}

} // namespace curranthoist::frontd
