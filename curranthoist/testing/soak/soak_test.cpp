#include "curranthoist/base/random_source.hpp"
#include "curranthoist/http/target_client.hpp"
#include "curranthoist/testing/platform/platform_fixture.hpp"
#include "curranthoist/testing/soak/checks.hpp"
#include "curranthoist/testing/soak/fault_plan.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

namespace curranthoist::testing {
namespace {

using request_kind = soak_observation::request_kind;

constexpr std::size_t vm_count = 5;
// The last VM has no disk.
constexpr std::size_t disk_count = 4;
constexpr std::size_t caller_threads = 4;
constexpr base::duration contact_time{4000};
constexpr base::duration recovery_limit{12'000};
// From a list that shows a leaving target until it gets nothing, and for an evacuation.
constexpr base::duration drain_limit{3000};
constexpr base::duration evacuation_limit{5000};
constexpr base::duration watch_time{2000};
constexpr unsigned cold_ms = 3000;

std::uint64_t number_from_environment(const char* name, std::uint64_t otherwise)
{
    const char* const text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

// Runs the programs under load and a random plan of faults, then lets everything heal,
// and checks what callers, targets and operators saw.
class soak_test : public platform_fixture,
                  public ::testing::WithParamInterface<std::uint64_t>
{
protected:
    soak_test()
    {
        // A write over the limit is to fail rather than to end the process.
        std::signal(SIGXFSZ, SIG_IGN);
        add_vms(vm_count, true);
        for (const char* const id :
             {"s0-a", "s0-b", "s1-a", "s1-b", "single-a", "single-b"}) {
            platform_->remove(id);
        }
        const std::string address = new_address();
        const std::string known = new_address();
        std::uint16_t port = 9200;
        for (const char* const service : {"s0", "s1", "single"}) {
            for (const char* const copy : {"-a", "-b", "-c"}) {
                stand_in_platform::target added;
                added.id = service + std::string(copy);
                added.service = service;
                added.address = {address, port};
                added.listed_address = base::endpoint{known, port++};
                added.zone = copy == std::string("-c") ? "z2" : "z1";
                added.work = base::duration(3);
                target_links_.push_back(std::make_unique<tcp_forwarder>(
                    *added.listed_address, added.address));
                platform_->add(added);
                targets_.push_back(added.id);
            }
        }
        cores_.resize(vm_count);
        fronts_.resize(vm_count);
        folders_.assign(vm_count, "disk");
        folders_.back() = "";
    }
    ~soak_test() override { stop_threads(); }

    void start_core_of(std::size_t vm, bool first = false)
    {
        cores_[vm] = &start_core(vm, first, folders_[vm]);
        expected_end_.erase(cores_[vm]);
    }
    void start_front_of(std::size_t vm) { fronts_[vm] = &start_front(vm); }

    // A process may end from now on; otherwise its end is a finding.
    void end(child_process& process, int signal)
    {
        expected_end_.insert({&process, true});
        process.send_signal(signal);
    }
    void note_own_end(const std::string& name, child_process& process)
    {
        if (!process.is_running() && !expected_end_.contains(&process)) {
            expected_end_.insert({&process, true});
            seen_.own_ends.push_back(name + " ended with " +
                                     std::to_string(*process.wait_for_exit()));
        }
    }
    void note_own_ends()
    {
        for (std::size_t vm = 0; vm < vm_count; ++vm) {
            note_own_end("core of vm-" + std::to_string(vm), *cores_[vm]);
            note_own_end("front of vm-" + std::to_string(vm), *fronts_[vm]);
        }
    }

    void disturb(std::size_t vm, base::duration lasts)
    {
        const std::lock_guard lock(mutex_);
        const base::instant now = clock_.now();
        seen_.disturbances.push_back({vm, now, now + lasts});
    }

    // Callers: half of them keep a connection to each VM until it closes.
    void call_until_stopped(std::size_t thread)
    {
        base::random_source random(seed_ * caller_threads + thread);
        ev::dynamic_loop loop;
        std::vector<std::unique_ptr<http::target_client>> kept(vm_count);
        for (std::uint64_t count = 0; !stop_; ++count) {
            soak_observation::request one;
            one.kind = static_cast<request_kind>(random.below(3));
            one.vm = only_vm_ < vm_count ? only_vm_.load() : random.below(vm_count);
            one.attempt = std::to_string(thread) + "x" + std::to_string(count);
            auto& client = kept[one.vm];
            if (!client || thread % 2 == 0) {
                client = std::make_unique<http::target_client>(
                    loop, base::endpoint{vms_[one.vm], callers_port}, 1);
            }
            one.sent = clock_.now();
            client->start(call_of(one), [&](http::target_result result) {
                one.result = std::move(result);
                loop.break_loop(ev::ALL);
            });
            loop.run(0);
            one.ended = clock_.now();
            const std::lock_guard lock(mutex_);
            if (stopping_) {
                seen_.stop_requests.push_back(one);
            }
            seen_.requests.push_back(std::move(one));
        }
    }
    static http::target_call call_of(const soak_observation::request& one)
    {
        constexpr const char* paths[] = {"/q/x", "/l/x", "/o/x"};
        const bool order = one.kind == request_kind::order;
        return {.method = order ? "POST" : "GET",
                .path = paths[static_cast<std::size_t>(one.kind)],
                .headers = {{"Host", host},
                            {"Attempt-Id", one.attempt},
                            {"Deadline-Milliseconds", "3000"}},
                .body = order ? "order" : "",
                .time_limit = base::duration(5000),
                .id_header = "Attempt-Id"};
    }

    // Operators: new versions, old and invalid ones, and readings.
    void operate_until_stopped()
    {
        base::random_source random(seed_ + 1);
        while (!stop_ && !calm_) {
            const std::uint64_t version = ++last_version_;
            nlohmann::json body = configuration(version);
            const bool valid = !random.chance(0.2);
            if (!valid) {
                body["routes"][0]["timeout_ms"] = 0;
            }
            const unsigned status =
                operate("POST", "/v1/configuration/replace", body.dump());
            if (status == 200) {
                const std::lock_guard lock(mutex_);
                if (valid) {
                    seen_.acknowledgements.push_back({version, clock_.now()});
                }
                else {
                    seen_.invalid_acknowledged.push_back("version " +
                                                         std::to_string(version));
                }
            }
            const base::instant sent = clock_.now();
            if (const std::uint64_t read = version_read_back(); read > 0) {
                const std::lock_guard lock(mutex_);
                seen_.readings.push_back({read, sent});
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(random.below(600)));
        }
    }
    void start_everything()
    {
        for (std::size_t vm = 0; vm < vm_count; ++vm) {
            start_core_of(vm, true);
            start_front_of(vm);
        }
        ASSERT_TRUE(replace(configuration(++last_version_)));
        seen_.acknowledgements.push_back({last_version_, clock_.now()});
        for (std::size_t vm = 0; vm < vm_count; ++vm) {
            ASSERT_TRUE(ready(vm));
        }
        ASSERT_TRUE(wait_until([&] { return everyone_votes(); }));
        for (std::size_t i = 0; i < caller_threads; ++i) {
            threads_.emplace_back([this, i] { call_until_stopped(i); });
        }
        threads_.emplace_back([this] { operate_until_stopped(); });
    }
    bool everyone_votes()
    {
        for (std::size_t vm = 0; vm < disk_count; ++vm) {
            if (core_metric(vm, "curranthoist_core_votes") != 1 ||
                core_metric(vm, "curranthoist_core_voters") !=
                    static_cast<std::int64_t>(disk_count)) {
                return false;
            }
        }
        return true;
    }
    void stop_threads()
    {
        stop_ = true;
        for (std::thread& one : threads_) {
            one.join();
        }
        threads_.clear();
    }

    // Begins a fault, and returns what ends it.
    std::function<void()> begin(const planned_fault& one);
    std::function<void()> stop_process(std::vector<child_process*>& of, std::size_t vm,
                                       int signal, bool is_front);
    std::function<void()> misbehave(std::size_t target, target_behaviour behaviour);
    void run_plan(base::duration length);
    void check_recovery();
    void check_leaving_targets();
    void check_planned_stops();

    std::uint64_t seed_ = GetParam();
    base::monotonic_clock clock_;
    std::mutex mutex_;
    soak_observation seen_;
    std::vector<std::string> targets_;
    std::vector<std::unique_ptr<tcp_forwarder>> target_links_;
    std::vector<std::string> folders_;
    std::map<child_process*, bool> expected_end_;
    std::vector<std::thread> threads_;
    std::atomic<bool> stop_{false};
    std::atomic<bool> calm_{false};
    std::atomic<bool> stopping_{false};
    // The VM that all callers ask; all of them if it is vm_count.
    std::atomic<std::size_t> only_vm_{vm_count};
    std::uint64_t last_version_ = 0;
    std::size_t wipes_ = 0;
};

std::function<void()> soak_test::stop_process(std::vector<child_process*>& of,
                                              std::size_t vm, int signal, bool is_front)
{
    child_process* const process = of[vm];
    if (!process->is_running()) {
        return [] {};
    }
    end(*process, signal);
    return [this, &of, process, vm, is_front] {
        // An overlapping stop of the same process has started its successor, which
        // listens on the same address.
        if (of[vm] != process) {
            return;
        }
        // SIGTERM is followed by SIGKILL after the grace period, as on the platform.
        process->send_signal(SIGCONT);
        process->wait_for_exit(base::duration(6000));
        process->kill_now();
        is_front ? start_front_of(vm) : start_core_of(vm);
        disturb(vm, base::duration());
    };
}

std::function<void()> soak_test::misbehave(std::size_t target, target_behaviour behaviour)
{
    const std::string& id = targets_[target];
    platform_->set_behaviour(id, behaviour);
    return [this, id] { platform_->set_behaviour(id, target_behaviour::answers); };
}

std::function<void()> soak_test::begin(const planned_fault& one)
{
    const std::size_t vm = one.where % vm_count;
    tcp_forwarder& link = *peer_links_[vm];
    const auto pause = [this, &one](child_process* process) -> std::function<void()> {
        process->send_signal(SIGSTOP);
        disturb(one.where, one.lasts);
        return [process] { process->send_signal(SIGCONT); };
    };
    const auto heal = [&link] {
        link.heal();
        link.delay(std::chrono::milliseconds(0));
    };
    switch (one.fault) {
    case soak_fault::kill_core:
        return stop_process(cores_, vm, SIGKILL, false);
    case soak_fault::kill_front:
        disturb(vm, one.lasts);
        return stop_process(fronts_, vm, SIGKILL, true);
    case soak_fault::kill_all_cores: {
        std::vector<std::function<void()>> restarts;
        for (std::size_t i = 0; i < vm_count; ++i) {
            restarts.push_back(stop_process(cores_, i, SIGKILL, false));
        }
        return [restarts] {
            for (const auto& restart : restarts) {
                restart();
            }
        };
    }
    case soak_fault::pause_core:
        cores_[vm]->send_signal(SIGSTOP);
        return [process = cores_[vm]] { process->send_signal(SIGCONT); };
    case soak_fault::pause_front:
        return pause(fronts_[vm]);
    case soak_fault::stop_core:
        return stop_process(cores_, vm, SIGTERM, false);
    case soak_fault::stop_front:
        disturb(vm, one.lasts);
        return stop_process(fronts_, vm, SIGTERM, true);
    case soak_fault::reload:
        cores_[vm]->send_signal(SIGHUP);
        fronts_[vm]->send_signal(SIGHUP);
        return [] {};
    case soak_fault::refuse_writes:
        if (folders_[vm].empty() || !cores_[vm]->is_running()) {
            return [] {};
        }
        expected_end_.insert({cores_[vm], true});
        cores_[vm]->limit_file_size(1);
        return stop_process(cores_, vm, 0, false);
    case soak_fault::wipe_disk: {
        // The one before must be repaired, or more disks are lost than may be.
        if (folders_[vm].empty() || !everyone_votes()) {
            return [] {};
        }
        auto restart = stop_process(cores_, vm, SIGKILL, false);
        folders_[vm] = "disk-" + std::to_string(++wipes_);
        return restart;
    }
    case soak_fault::cut_links:
        disturb(vm, one.lasts);
        link.cut(true, true);
        return heal;
    case soak_fault::cut_one_way:
        disturb(vm, one.lasts);
        link.cut(one.lasts.count() % 2 == 0, one.lasts.count() % 2 != 0);
        return heal;
    case soak_fault::silence_links:
        link.silence_open_connections();
        return [] {};
    case soak_fault::reset_links:
        link.reset_open_connections();
        return [] {};
    case soak_fault::delay_links:
        link.delay(std::chrono::milliseconds(one.lasts.count() / 10));
        return heal;
    case soak_fault::targets_hang:
        return misbehave(one.where, target_behaviour::hangs);
    case soak_fault::targets_fail:
        return misbehave(one.where, target_behaviour::fails);
    case soak_fault::targets_shed:
        return misbehave(one.where, target_behaviour::sheds);
    case soak_fault::targets_lose_answers:
        return misbehave(one.where, target_behaviour::loses_answers);
    case soak_fault::target_links_silent:
        target_links_[one.where]->silence_open_connections();
        return [] {};
    case soak_fault::target_links_reset:
        target_links_[one.where]->reset_open_connections();
        return [] {};
    case soak_fault::target_turns_cold:
        platform_->set_cold(targets_[one.where], cold_ms);
        return [this, id = targets_[one.where]] { platform_->set_cold(id, 0); };
    }
    return [] {};
}

void soak_test::run_plan(base::duration length)
{
    const auto plan = make_fault_plan(seed_, length, vm_count, targets_.size());
    const base::instant begun = clock_.now();
    std::multimap<base::instant, std::function<void()>> due;
    for (const planned_fault& one : plan) {
        due.emplace(begun + one.at, [this, &one, &due] {
            std::cout << "soak: " << (clock_.now()).count() << " "
                      << soak_fault_name(one.fault) << " " << one.where << " for "
                      << one.lasts.count() << " ms\n";
            due.emplace(clock_.now() + one.lasts, begin(one));
        });
    }
    while (!due.empty()) {
        note_own_ends();
        const auto next = due.begin();
        const base::duration wait = next->first - clock_.now();
        if (wait > base::duration()) {
            std::this_thread::sleep_for(
                std::chrono::milliseconds(std::min<std::int64_t>(wait.count(), 100)));
            continue;
        }
        const std::function<void()> action = std::move(next->second);
        due.erase(next);
        action();
    }
    note_own_ends();
}

void soak_test::check_recovery()
{
    calm_ = true;
    EXPECT_TRUE(wait_until([&] { return everyone_votes(); }, recovery_limit));
    std::uint64_t newest = 0;
    {
        const std::lock_guard lock(mutex_);
        newest = seen_.acknowledgements.back().version;
    }
    EXPECT_TRUE(
        wait_until([&] { return version_read_back() >= newest; }, recovery_limit));
    for (std::size_t vm = 0; vm < vm_count; ++vm) {
        EXPECT_TRUE(ready(vm)) << "vm-" << vm;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(contact_time.count()));
    std::size_t before = 0;
    {
        const std::lock_guard lock(mutex_);
        before = seen_.requests.size();
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(watch_time.count()));
    const std::lock_guard lock(mutex_);
    const auto served = std::count_if(
        seen_.requests.begin() + static_cast<std::ptrdiff_t>(before),
        seen_.requests.end(), [](const auto& one) { return one.result.status == 200; });
    EXPECT_GT(served, 50);
    EXPECT_GE(served * 100,
              95 * static_cast<std::ptrdiff_t>(seen_.requests.size() - before));
}

// Everything is calm: a leaving target, a cold one and a zone under evacuation.
void soak_test::check_leaving_targets()
{
    const auto sleep = [](base::duration time) {
        std::this_thread::sleep_for(std::chrono::milliseconds(time.count()));
    };
    const auto bar = [&](const std::string& target) {
        const base::instant now = clock_.now();
        const std::lock_guard lock(mutex_);
        seen_.barred.push_back({target, now, now + watch_time});
    };
    platform_->set_state("s0-a", "draining");
    platform_->set_cold("single-a", cold_ms);
    ASSERT_TRUE(wait_until(
        [&] { return operate("POST", "/v1/evacuation/z2/start", "") == 200; }));
    // The list is read each second.
    sleep(drain_limit);
    bar("s0-a");
    sleep(evacuation_limit - drain_limit);
    bar("single-c");
    const base::instant now = clock_.now();
    {
        const std::lock_guard lock(mutex_);
        seen_.cold.push_back({"single-a", now, now + watch_time});
    }
    sleep(watch_time);
    platform_->set_state("s0-a", "ready");
    platform_->set_cold("single-a", 0);
    ASSERT_TRUE(
        wait_until([&] { return operate("POST", "/v1/evacuation/z2/end", "") == 200; }));
}

// Each front is stopped in turn while every caller asks it on kept and new connections.
void soak_test::check_planned_stops()
{
    for (std::size_t vm = 0; vm < vm_count; ++vm) {
        only_vm_ = vm;
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        stopping_ = true;
        end(*fronts_[vm], SIGTERM);
        EXPECT_EQ(fronts_[vm]->wait_for_exit(base::duration(6000)), 0) << "vm-" << vm;
        stopping_ = false;
        only_vm_ = vm_count;
        start_front_of(vm);
        EXPECT_TRUE(ready(vm));
    }
}

TEST_P(soak_test, the_promises_hold)
{
    start_everything();
    if (HasFatalFailure()) {
        return;
    }
    run_plan(base::duration(
        static_cast<std::int64_t>(number_from_environment("SOAK_SECONDS", 8) * 1000)));
    check_recovery();
    check_leaving_targets();
    check_planned_stops();
    note_own_ends();
    stop_threads();
    seen_.runs = platform_->journal();
    for (const std::string& finding : soak_checks::all(seen_)) {
        ADD_FAILURE() << "seed " << seed_ << ": " << finding;
    }
    std::cout << "soak: seed " << seed_ << ", " << seen_.requests.size() << " requests, "
              << seen_.runs.size() << " runs, " << seen_.acknowledgements.size()
              << " versions, " << seen_.readings.size() << " readings, "
              << seen_.stop_requests.size() << " requests in stops\n";
    if (HasFailure()) {
        const char* const kept = std::getenv("SOAK_LOGS");
        if (kept != nullptr) {
            std::filesystem::copy(folder(),
                                  std::string(kept) + "/" + std::to_string(seed_),
                                  std::filesystem::copy_options::recursive |
                                      std::filesystem::copy_options::overwrite_existing);
        }
    }
}

// The seed that the environment names, or every seed that ever failed.
std::vector<std::uint64_t> seeds()
{
    if (const std::uint64_t one = number_from_environment("SOAK_SEED", 0); one != 0) {
        return {one};
    }
    return {
        // A target that was cold again at each reading of the list was taken for warm.
        1,
        // A stopping front closed a connection before its first request came.
        1212,
        // A reload 3 ms after a start ended a front.
        1213,
        // Overlapping stops of one front started two successors.
        1224,
        // A process read its settings file while the fixture wrote it anew.
        290017,
    };
}

INSTANTIATE_TEST_SUITE_P(seeds, soak_test, ::testing::ValuesIn(seeds()));

} // namespace
} // namespace curranthoist::testing
