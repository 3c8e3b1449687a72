#include "curranthoist/frontd/front_process.hpp"

#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/deployment/configuration_bounds.hpp"
#include "curranthoist/forwarding/gather_plan.hpp"
#include "curranthoist/http/status.hpp"
#include "curranthoist/platform/configuration_document.hpp"

#include <algorithm>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace curranthoist::frontd {

namespace {

constexpr double tick_s = 0.1;
// A configuration whose targets are cold waits for half of the time until which it must
// be in force; the other half is for its way to this VM.
constexpr std::int64_t configuration_wait_divisor = 2;
// A process has its configuration and list this long after its start, even if the core
// started with it.
constexpr base::duration start_time{800};
constexpr base::duration least_retry_after{50};
// When a caller may come back that found too many requests open.
constexpr base::duration full_retry_after{250};
// When a caller may come back whose key could not be confirmed. A core that lost its
// leader has another one within about a second.
constexpr base::duration key_retry_after{500};
// The load balancer asks once a second and believes the second miss; then it sends no new
// connections.
constexpr base::duration balancer_delay{2500};
// What is left of the platform's stop limit when the requests that are still open get
// their final answer, and when the process ends at the latest.
constexpr base::duration stop_margin{400};
constexpr base::duration exit_margin{100};
// A healthy target answers its health request within a few milliseconds.
constexpr base::duration health_limit{300};
// Connections to targets are made before they are needed, so many at once: a query needs
// one to each shard, and their handshakes would make it late.
constexpr std::size_t connects_at_once = 12;
constexpr base::duration connect_ahead_interval{100};
// The services that need connections are determined once in this time.
constexpr base::duration connected_services_interval{1000};
constexpr std::size_t max_caller_connections = 2500;
// Descriptors that the platform keeps for files.
constexpr std::size_t reserved_descriptors = 200;
// The part of the process's memory that callers' connections may take.
constexpr std::size_t caller_memory_divisor = 4;
// Bodies are kept in memory, so that the operators' limit holds only below this one.
constexpr std::size_t max_caller_body_bytes =
    deployment::configuration_bounds().max_body_bytes;
// The part of the process's memory that the bodies of targets' responses may fill; their
// buffers may take twice as much.
constexpr std::size_t response_memory_divisor = 8;
// The part that the bodies of callers' requests may fill.
constexpr std::size_t request_memory_divisor = 8;
// The part that open requests may take besides their bodies, and what one send to a
// target takes of it.
constexpr std::size_t send_memory_divisor = 4;
constexpr std::size_t bytes_for_send = std::size_t{4} * 1024;
// The part of the connections that have no open request, so that one of them can make
// room for a new caller.
constexpr std::size_t idle_connection_divisor = 4;
// Longer than callers keep an idle connection, so that they close it first.
constexpr unsigned idle_seconds = 60;

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

// The descriptors that callers' connections may take, and those to targets.
std::size_t descriptor_share(const platform::node_settings& settings)
{
    const std::size_t usable =
        std::max(settings.max_descriptors, 2 * reserved_descriptors) -
        reserved_descriptors;
    return usable * 3 / 8;
}

http::caller_server_options
caller_options(const platform::node_settings& settings,
               std::shared_ptr<http::memory_account> response_memory)
{
    http::caller_server_options result;
    result.listen = *settings.callers;
    const std::size_t connections =
        settings.memory_bytes / caller_memory_divisor /
        http::caller_server::connection_bytes(result.max_header_bytes);
    result.max_connections = static_cast<unsigned>(
        std::min({connections, descriptor_share(settings), max_caller_connections}));
    result.idle_seconds = idle_seconds;
    result.max_request_memory =
        std::max(settings.memory_bytes / request_memory_divisor, max_caller_body_bytes);
    result.response_memory = std::move(response_memory);
    return result;
}

forwarding::open_request_limit::options
open_request_options(const platform::node_settings& settings)
{
    const std::size_t connections = caller_options(settings, nullptr).max_connections;
    return {connections - connections / idle_connection_divisor,
            settings.memory_bytes / send_memory_divisor / bytes_for_send};
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
    , context_{loop,
               forwarding::target_directory(
                   {settings_.zone, settings_.name, settings_.list_lag,
                    forwarding::version_share::lifetime_for(
                        settings_.rollback_limit,
                        coreclient::core_links::max_report_delay),
                    settings_.contact_limit}),
               forwarding::extra_send_budget({settings_.extra_ratio,
                                              settings_.extra_slack,
                                              settings_.extra_window}),
               target_pool(loop,
                           std::make_shared<http::memory_account>(
                               settings_.memory_bytes / response_memory_divisor),
                           descriptor_share(settings_)),
               base::random_source(std::random_device()()),
               {},
               base::logger("request"),
               {},
               1}
    , configuration_(settings_.configuration_limit / configuration_wait_divisor)
    , key_lease_(settings_.revocation_limit)
    , team_admission_(context_.random.next())
    , gather_links_(loop, settings_.name)
    , gather_server_(loop, gather_endpoint(settings_), context_)
    , tick_(loop)
    , started_(clock_.now())
{
    context_.gather = &gather_links_;
    context_.open_requests =
        forwarding::open_request_limit(open_request_options(settings_));
    context_.own_name = settings_.name;
    links_ = std::make_unique<coreclient::core_links>(loop_, base::vm_id(settings_.name),
                                                      settings_.zone, peers_of(settings_),
                                                      link_handlers());
    links_->offer_gathering(gather_endpoint(settings_));
    callers_ = std::make_unique<http::caller_server>(
        loop_, caller_options(settings_, context_.pool.shared_memory()),
        [this](http::caller_request request, http::responder answer) {
            on_request(std::move(request), std::move(answer));
        });
    readiness_ = std::make_unique<http::caller_server>(
        loop_, http::caller_server_options::for_probes(*settings_.readiness),
        [this](const http::caller_request& request, const http::responder& answer) {
            on_readiness(request, answer);
        });
    context_.pool.set_connection_handler(
        [this](const base::target_id& id, std::size_t count) {
            context_.directory.set_connections(id, count, clock_.now());
        });
    tick_.set<front_process, &front_process::on_tick>(this);
    tick_.start(tick_s, tick_s);
    log_.info("event=started vm=" + settings_.name + " zone=" + settings_.zone.str() +
              " callers=" + settings_.callers->str());
}

coreclient::core_links::handlers front_process::link_handlers()
{
    coreclient::core_links::handlers on;
    on.on_state = [this](const coreclient::received_state& state) { on_state(state); };
    on.on_listing = [this](const deployment::listing_change& change) {
        on_listing(change);
    };
    on.on_listing_check = [this](base::instant read_at) {
        context_.directory.confirm_listing(read_at);
    };
    on.on_suspects = [this](std::set<base::target_id> suspects) {
        if (suspects.size() != suspects_) {
            suspects_ = suspects.size();
            log_.info("event=suspects_changed targets=" + std::to_string(suspects_));
        }
        context_.directory.set_suspects(std::move(suspects));
    };
    on.on_gatherers = [this](std::vector<deployment::gatherer> gatherers) {
        on_gatherers(std::move(gatherers));
    };
    on.samples = [this] { return context_.directory.take_samples(); };
    on.on_front_count = [this](std::size_t fronts) {
        if (fronts > 0 && fronts != context_.fronts) {
            log_.info("event=front_count_changed fronts=" + std::to_string(fronts));
            context_.fronts = fronts;
            context_.budget.set_vm_count(fronts);
            context_.directory.set_vm_count(fronts);
            team_admission_.set_vm_count(fronts);
        }
    };
    on.on_confirmed = [this](std::uint64_t index, base::instant at) {
        key_lease_.confirm(index, at);
    };
    on.on_team_shares = [this](const std::vector<deployment::team_share>& shares) {
        team_admission_.on_leader(clock_.now());
        team_admission_.set_shares(shares);
    };
    on.on_rollout_shares = [this](std::span<const deployment::rollout_share> shares,
                                  base::instant at) {
        context_.directory.versions().set_shares(shares, at);
    };
    on.answers_by_version = [this] { return context_.directory.versions().answers(); };
    on.team_uses = [this] { return team_admission_.take_uses(); };
    return on;
}

void front_process::on_state(const coreclient::received_state& state)
{
    context_.directory.set_evacuated(state.evacuated, clock_.now());
    context_.directory.versions().set_rollouts(state.rollouts,
                                               base::log_index(state.index));
    withdraw_unsent(clock_.now());
    if (state.version <= configuration_.offered_version()) {
        key_lease_.hold(state.index);
        return;
    }
    try {
        configuration_.offer(std::make_shared<const deployment::route_table>(
                                 platform::decode_configuration(state.document)),
                             clock_.now());
        key_lease_.hold(state.index);
    }
    catch (const base::findings_error& error) {
        log_.error("event=configuration_unreadable version=" +
                   std::to_string(state.version) + " findings=\"" + error.what() + "\"");
    }
    switch_configuration();
}

void front_process::switch_configuration()
{
    if (configuration_.update(context_.directory, clock_.now())) {
        const deployment::configuration& now = configuration_.current()->source();
        context_.configuration = std::shared_ptr<const deployment::configuration>(
            configuration_.current(), &now);
        callers_->set_request_limits(
            now.limits.max_header_bytes,
            std::min(now.limits.max_body_bytes, max_caller_body_bytes));
        callers_->set_time_limits(now.limits.idle_timeout, now.limits.header_timeout);
        log_.info("event=configuration_in_force version=" + std::to_string(now.version) +
                  " routes=" + std::to_string(now.routes.size()));
    }
}

void front_process::on_listing(const deployment::listing_change& change)
{
    context_.pool.retire(context_.directory.apply(change));
    withdraw_unsent(clock_.now());
}

void front_process::withdraw_unsent(base::instant now)
{
    context_.pool.withdraw_unsent([this, now](const base::target_id& id) {
        return !context_.directory.is_usable(id, now);
    });
}

void front_process::on_request(http::caller_request request, http::responder answer)
{
    platform::inbound_request inbound =
        platform::decode_caller_request(std::move(request));
    // A request that is taken now might outlast the process.
    if (stop_begun_ != base::instant::max() &&
        clock_.now() - stop_begun_ >= balancer_delay) {
        refuse(inbound, answer, "this VM is stopping", base::duration());
        return;
    }
    const auto& table = configuration_.current();
    if (!table || !context_.directory.has_listing()) {
        const base::duration rest = start_time - (clock_.now() - started_);
        refuse(inbound, answer, "this VM is starting", std::max(rest, least_retry_after));
        return;
    }
    const deployment::route* route = table->find(inbound.host, inbound.target);
    if (route == nullptr) {
        log_.info("event=request_refused id=" + inbound.attempt.str() +
                  " reason=\"no route\" host=" + inbound.host +
                  " version=" + std::to_string(table->source().version));
        answer.respond(
            platform::own_response(http::status::not_found, "no route", std::nullopt));
        return;
    }
    if (!admit_team(inbound, *route, answer)) {
        return;
    }
    auto place = context_.open_requests.take(route->gathers() ? route->shards.size() : 1);
    if (!place) {
        refuse(inbound, answer, "too many requests are open", full_retry_after);
        return;
    }
    const std::uint64_t number = ++last_task_;
    auto task = std::make_shared<caller_task>(context_, table, *route, std::move(inbound),
                                              std::move(answer), std::move(place));
    tasks_[number] = task;
    task->start([this, number] {
        const auto found = tasks_.find(number);
        ended_.push_back(std::move(found->second));
        tasks_.erase(found);
    });
}

const deployment::route_table& front_process::newest_table() const
{
    return configuration_.pending() ? *configuration_.pending()
                                    : *configuration_.current();
}

bool front_process::admit_team(platform::inbound_request& request,
                               const deployment::route& route,
                               const http::responder& answer)
{
    const deployment::team_table& teams = newest_table().teams();
    if (teams.empty()) {
        platform::keep_team_headers(request);
        return true;
    }
    if (route.is_public) {
        return true;
    }
    const base::instant now = clock_.now();
    if (!key_lease_.is_valid(now)) {
        count_team("", "unconfirmed");
        refuse(request, answer, "keys can't be confirmed now", key_retry_after);
        return false;
    }
    const deployment::team* team = teams.find(request.key);
    if (team == nullptr && links_->live_members() == 0) {
        // It may be a new one.
        count_team("", "unconfirmed");
        refuse(request, answer, "the key can't be looked up now", key_retry_after);
        return false;
    }
    if (team == nullptr) {
        count_team("", "unknown_key");
        log_.info("event=request_refused id=" + request.attempt.str() +
                  " reason=\"unknown key\" version=" +
                  std::to_string(newest_table().source().version));
        answer.respond(platform::own_response(http::status::unauthorized, "unknown key",
                                              std::nullopt));
        return false;
    }
    if (const auto wait = team_admission_.refusal(*team, now)) {
        count_team(team->name, "over_limit");
        log_.info("event=request_refused id=" + request.attempt.str() +
                  " reason=\"team over its limit\" team=" + team->name +
                  " retry_after_ms=" + std::to_string(wait->count()));
        answer.respond(platform::own_response(http::status::too_many_requests,
                                              "not run: the team is over its limit",
                                              *wait));
        return false;
    }
    count_team(team->name, "admitted");
    platform::set_team(request, team->name);
    request.priority = team->priority;
    return true;
}

void front_process::count_team(const std::string& team, const char* outcome)
{
    context_.metrics
        .counter_named("curranthoist_team_requests_total",
                       "Requests with keys by team and outcome",
                       "team=\"" + team + "\",outcome=\"" + outcome + "\"")
        .add();
}

void front_process::refuse(const platform::inbound_request& request,
                           const http::responder& answer, const char* reason,
                           base::duration retry_after)
{
    log_.info("event=request_refused id=" + request.attempt.str() + " reason=\"" +
              reason + "\" retry_after_ms=" + std::to_string(retry_after.count()));
    answer.respond(platform::own_response(http::status::service_unavailable,
                                          std::string("not run: ") + reason,
                                          retry_after));
}

bool front_process::is_ready() const
{
    return configuration_.current() && context_.directory.has_listing() &&
           stop_begun_ == base::instant::max();
}

void front_process::set_gauges()
{
    base::counter_registry& metrics = context_.metrics;
    const base::instant now = clock_.now();
    const auto& table = configuration_.current();
    metrics.gauge_named("curranthoist_configuration_version", "Version in force")
        .set(table ? static_cast<std::int64_t>(table->source().version) : 0);
    metrics.gauge_named("curranthoist_list_age_ms", "Since the last reading of the list")
        .set(context_.directory.has_listing()
                 ? (now - context_.directory.read_at()).count()
                 : -1);
    metrics.gauge_named("curranthoist_targets_listed", "Targets that the list names")
        .set(static_cast<std::int64_t>(context_.directory.size()));
    metrics.gauge_named("curranthoist_target_connections", "Open connections to targets")
        .set(static_cast<std::int64_t>(context_.pool.open_sockets()));
    metrics
        .gauge_named("curranthoist_response_memory_bytes",
                     "Counted bytes of targets' responses")
        .set(static_cast<std::int64_t>(context_.pool.memory().used()));
    metrics
        .gauge_named("curranthoist_responses_refused_for_memory",
                     "Targets' responses that were cut off for want of memory")
        .set(static_cast<std::int64_t>(context_.pool.memory().refusals()));
    metrics
        .gauge_named("curranthoist_request_memory_bytes",
                     "Counted bytes of callers' requests")
        .set(static_cast<std::int64_t>(callers_->request_memory().used()));
    metrics
        .gauge_named("curranthoist_caller_connections_evicted",
                     "Callers' connections that were closed to make room for others")
        .set(static_cast<std::int64_t>(callers_->evicted_connections()));
    metrics.gauge_named("curranthoist_open_sends", "Sends that open requests may need")
        .set(static_cast<std::int64_t>(context_.open_requests.sends()));
    metrics.gauge_named("curranthoist_core_members", "Core members that answer")
        .set(static_cast<std::int64_t>(links_->live_members()));
    metrics.gauge_named("curranthoist_open_requests", "Requests without an answer yet")
        .set(static_cast<std::int64_t>(tasks_.size()));
}

std::string front_process::metrics_text()
{
    set_gauges();
    return context_.metrics.prometheus_text();
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

void front_process::probe_targets(base::instant now)
{
    if (!configuration_.current()) {
        return;
    }
    const auto& services = configuration_.current()->source().services;
    for (const base::target_id& id : context_.directory.due_probes(now)) {
        const deployment::listed_target* target = context_.directory.find(id);
        const auto limits = services.find(target->service);
        if (limits == services.end()) {
            continue;
        }
        context_.client_of(*target, configuration_.current()->source())
            .start(platform::encode_health_call(limits->second.health_path, health_limit),
                   [this, id](const http::target_result& result) {
                       const platform::health_answer health =
                           platform::decode_health_answer(result);
                       const bool same = health.instance == id;
                       log_.info("event=target_probed target=" + id.str() +
                                 " outcome=\"" +
                                 std::string(http::outcome_text(result.outcome)) +
                                 "\" status=" + std::to_string(result.status) +
                                 " instance=" + health.instance.str() + " cold_ms=" +
                                 std::to_string(health.remaining_cold_time.count()));
                       if (same) {
                           context_.on_notice(id, health.notice, clock_.now());
                       }
                       if (health.healthy && same) {
                           context_.directory.on_healthy(id, health.remaining_cold_time,
                                                         clock_.now());
                       }
                   });
    }
}

void front_process::preconnect(base::instant now)
{
    if (!configuration_.current() || now - connected_ahead_ < connect_ahead_interval) {
        return;
    }
    connected_ahead_ = now;
    // The services of the configuration that waits come first: it waits for them.
    const deployment::route_table& table =
        configuration_.pending() ? *configuration_.pending() : *configuration_.current();
    for (const base::target_id& id : context_.directory.due_preconnections(
             services_to_connect(table, now), connects_at_once, now)) {
        context_.client_of(*context_.directory.find(id), table.source()).preconnect();
    }
}

const std::vector<base::service_id>&
front_process::services_to_connect(const deployment::route_table& table,
                                   base::instant now)
{
    if (!connected_services_.empty() &&
        now - connected_services_at_ < connected_services_interval) {
        return connected_services_;
    }
    connected_services_at_ = now;
    connected_services_.clear();
    std::set<base::service_id> shards;
    if (context_.gatherers_in_zone > 0) {
        for (const deployment::route& route : table.source().routes) {
            if (route.shards.size() >= forwarding::min_shards_to_gather) {
                shards.insert(route.shards.begin(), route.shards.end());
            }
        }
    }
    for (const base::service_id& service : table.services()) {
        const auto zones = context_.directory.usable_zones(service, now);
        const bool has_own = std::any_of(zones.begin(), zones.end(), [this](auto* zone) {
            return *zone == settings_.zone;
        });
        if (!shards.contains(service) || (context_.gathers && has_own)) {
            connected_services_.push_back(service);
        }
    }
    return connected_services_;
}

void front_process::on_gatherers(std::vector<deployment::gatherer> gatherers)
{
    if (gatherers.empty() && gather_links_.gatherers().empty()) {
        return;
    }
    const base::vm_id self(settings_.name);
    context_.gathers = false;
    context_.gatherers_in_zone = 0;
    for (const deployment::gatherer& one : gatherers) {
        context_.gathers = context_.gathers || one.name == self;
        context_.gatherers_in_zone += one.zone == settings_.zone ? 1 : 0;
    }
    log_.info("event=gatherers_changed gatherers=" + std::to_string(gatherers.size()) +
              " in_zone=" + std::to_string(context_.gatherers_in_zone) +
              " gathers=" + (context_.gathers ? "true" : "false"));
    connected_services_.clear();
    gather_links_.set_gatherers(std::move(gatherers));
}

void front_process::on_tick(ev::timer& /*watcher*/, int /*events*/)
{
    const base::instant now = clock_.now();
    ended_.clear();
    gather_server_.drop_ended();
    gather_links_.check();
    context_.pool.drop_idle();
    context_.pool.retry_waiting();
    // For what targets said of themselves, and what was found out about them.
    withdraw_unsent(now);
    probe_targets(now);
    preconnect(now);
    switch_configuration();
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
