#include "curranthoist/entry/entry_process.hpp"

#include "curranthoist/base/wall_clock.hpp"
#include "curranthoist/entry/entry_memory.hpp"

#include <algorithm>
#include <csignal>
#include <random>

namespace curranthoist::entry {

namespace {

constexpr base::duration tick_interval{20};

std::uint64_t random_seed()
{
    std::random_device device;
    constexpr unsigned half_bits = 32;
    return (std::uint64_t{device()} << half_bits) | device();
}

base::incarnation new_incarnation()
{
    return base::incarnation(
        static_cast<std::uint64_t>(base::wall_clock().now().count()));
}

} // namespace

entry_process::entry_process(const settings::entry_settings& settings)
    : settings_(settings)
    , run_(new_incarnation())
    , random_(random_seed())
    , stop_(settings_.balancer_delay, settings_.stop_limit)
    , deferred_(loop_)
    , services_(settings_.policies, random_)
    , own_(loop_, settings_.vm, settings_.policies, deferred_, metrics_,
           {[this](const base::target_id& target, const routing::target_fact& fact) {
                services_.set_own_fact(target, fact);
                control_.set_fact(to_message(target, fact));
            },
            [this](const wire::released_target_message& released) {
                control_.release(released);
            },
            [this](const base::target_id& target) {
                services_.forget_own_fact(target);
                control_.forget_fact(target);
            }})
    , relay_(
          loop_, settings_.vm, own_,
          {[this](const base::vm_id& owner, const wire::part_reply_message& reply) {
               dispatcher_.on_part_reply(owner, reply);
           },
           [this](const wire::order_reply_message& reply) {
               dispatcher_.on_order_reply(reply);
           },
           [this](const base::vm_id& owner) { dispatcher_.on_owner_lost(owner); },
           [this] { services_.set_disconnected_owners(relay_.disconnected_owners()); }})
    , control_(loop_, {settings_.vm, settings_.zone, run_}, settings_.control, metrics_,
               {[this] { on_configuration(); },
                [this](const wire::roster_update& update) { services_.apply(update); },
                [this] { on_lease(); }})
    , dispatcher_(loop_,
                  {settings_, stop_, control_, services_, relay_, deferred_, metrics_},
                  run_)
    , relay_server_(loop_, settings_.peers, settings_.vm,
                    settings_.limits.max_shards_per_query, own_, deferred_,
                    relay_limits(settings_))
    , callers_(
          loop_, caller_options(settings_),
          [this](const http::caller_request& request, const http::responder& caller) {
              dispatcher_.on_request(request, caller);
          })
    , terminate_(loop_)
    , interrupt_(loop_)
    , tick_(loop_)
{
    // A peer that closes its end must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    terminate_.set<entry_process, &entry_process::on_signal>(this);
    interrupt_.set<entry_process, &entry_process::on_signal>(this);
    tick_.set<entry_process, &entry_process::on_tick>(this);
}

bool entry_process::run()
{
    terminate_.start(SIGTERM);
    interrupt_.start(SIGINT);
    tick_.start(tick_interval.seconds(), tick_interval.seconds());
    control_.start();
    log_.info("VM " + settings_.vm.str() + " serves callers at " +
              callers_.local().str() + " and VMs at " + settings_.peers.str());
    loop_.run(0);
    return stop_.phase() == stop_phase::finished;
}

void entry_process::on_configuration()
{
    const control::configuration& configuration = control_.configuration();
    services_.apply(configuration);
    own_.apply(configuration);
    relay_.apply(configuration);
    metrics_
        .gauge_named("curranthoist_applied_revision",
                     "Revision of the configuration in force in this process")
        .set(static_cast<std::int64_t>(configuration.number.value()));
}

void entry_process::on_lease()
{
    own_.set_lease_end(control_.lease_end());
}

void entry_process::on_signal(ev::sig& /*watcher*/, int /*events*/)
{
    if (stop_.stopping()) {
        return;
    }
    stop_.begin(clock_.now());
    enter_phase(stop_.phase());
}

void entry_process::on_tick(ev::timer& /*watcher*/, int /*events*/)
{
    const stop_phase before = stop_.phase();
    if (before == stop_phase::serving) {
        return;
    }
    const std::size_t running = std::max(dispatcher_.running(), callers_.open_requests());
    stop_.on_time(clock_.now(), std::max(running, connections_to_wait_for()),
                  unreleased());
    if (stop_.phase() != before) {
        enter_phase(stop_.phase());
    }
}

// A connection that was taken last may not have sent its request yet; ended now, it would
// break. Idle ones are closed after the wait.
std::size_t entry_process::connections_to_wait_for()
{
    constexpr base::duration request_wait{500};
    if (stop_.phase() != stop_phase::releasing) {
        return 0;
    }
    if (callers_.is_listening()) {
        return 1;
    }
    if (clock_.now() - releasing_since_ >= request_wait) {
        callers_.close_idle();
        return 0;
    }
    return callers_.live_connections();
}

std::size_t entry_process::unreleased() const
{
    const auto& assignments = control_.configuration().assignments;
    const auto owned =
        std::count_if(assignments.begin(), assignments.end(), [this](const auto& entry) {
            return entry.second.owner == settings_.vm &&
                   !control_.release_is_known(entry.first);
        });
    return static_cast<std::size_t>(owned) + own_.running() +
           relay_server_.queued_bytes();
}

void entry_process::enter_phase(stop_phase phase)
{
    switch (phase) {
    case stop_phase::serving:
        break;
    case stop_phase::leaving:
        log_.info("stopping: /ready says 503, requests are served for " +
                  std::to_string(settings_.balancer_delay.count()) + " ms more");
        break;
    case stop_phase::finishing:
        log_.info("stopping: new requests are refused");
        break;
    case stop_phase::releasing:
        log_.info("stopping: requests are finished, releasing targets");
        callers_.stop_accepting();
        releasing_since_ = clock_.now();
        // The leader answers with a configuration that releases every target of this VM.
        control_.set_stopping();
        break;
    case stop_phase::finished:
        log_.info("stopped");
        loop_.break_loop(ev::ALL);
        break;
    case stop_phase::overdue:
        log_.error("stop limit passed with " + std::to_string(dispatcher_.running()) +
                   " requests running and " + std::to_string(unreleased()) +
                   " targets or parts not released");
        loop_.break_loop(ev::ALL);
        break;
    }
}

} // namespace curranthoist::entry
