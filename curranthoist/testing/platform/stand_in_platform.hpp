#pragma once

#include "curranthoist/base/endpoint.hpp"
#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/http/caller_server.hpp"

#include <ev++.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace curranthoist::testing {

// What a stand-in target does with the requests that it gets from now on.
enum class target_behaviour : std::uint8_t
{
    answers,
    // Runs the request and answers 500.
    fails,
    // Says that it has not run the request.
    sheds,
    // The same, and wants no requests for two seconds.
    wants_pause,
    // Answers, and says that it is leaving.
    leaves,
    // Runs the request and closes the connection.
    loses_answers,
    // Runs the request and never answers.
    hangs,
};

// The platform around the programs, on loopback: the list of targets, and targets that
// speak its protocol and keep a journal of what they ran. It serves on a thread of its
// own; every function may be called from the test's thread.
class stand_in_platform
{
public:
    // A target as the list names it.
    struct target
    {
        std::string id;
        std::string service;
        base::endpoint address;
        std::string state = "ready";
        unsigned cold_ms = 0;
        std::string zone = "z1";
        // Where the list says that it is, if that is not `address`: a forwarder, say.
        std::optional<base::endpoint> listed_address = {};
        // From the arrival of a request to its answer.
        base::duration work = {};
        // Its answers have bodies of this size; 0 for the records of its service.
        std::size_t answer_bytes = 0;
        std::string version = "v1";
    };
    struct run
    {
        std::string target;
        std::string attempt;
        std::string method;
        std::string path;
        std::string body;
        // When it began.
        base::instant at = {};
        // The team that it was told, and the caller's key, which should not reach it.
        std::string team = {};
        std::string key = {};
    };

    explicit stand_in_platform(const base::endpoint& list);
    ~stand_in_platform();
    stand_in_platform(const stand_in_platform&) = delete;
    stand_in_platform& operator=(const stand_in_platform&) = delete;

    // Starts a target and lists it.
    void add(const target& added);
    void set_state(const std::string& id, const std::string& state);
    void set_behaviour(const std::string& id, target_behaviour behaviour);
    // How long the list says that the target stays cold.
    void set_cold(const std::string& id, unsigned cold_ms);
    // Adds these bytes to the list as one more entry; an empty text adds none.
    void set_odd_entry(const std::string& bytes);
    // The target ends: its connections close and the list no longer names it.
    void remove(const std::string& id);
    [[nodiscard]] std::vector<run> journal() const;
    // Runs of one attempt, over all targets.
    [[nodiscard]] std::size_t runs_of(const std::string& attempt) const;

    // Requests that have reached the target, whatever came of them; health requests too.
    [[nodiscard]] std::size_t arrivals_at(const std::string& id) const;

    // The number of calls of the list.
    [[nodiscard]] std::size_t list_calls() const { return list_calls_; }

    // The records that a target of the service answers with.
    static std::string records_of(const std::string& service);

private:
    struct served_target
    {
        target listed;
        target_behaviour behaviour = target_behaviour::answers;
        std::unique_ptr<http::caller_server> server;
        std::vector<http::responder> kept;
    };

    // Runs an action on the serving thread and waits for it.
    template <class Action>
    void on_loop(Action action);
    void on_wake(ev::async& watcher, int events);
    void on_list(const http::responder& answer);
    void on_answer_timer(ev::timer& watcher, int events);
    void answer_run(served_target& at, const std::string& attempt,
                    const http::responder& answer);
    void on_request(served_target& at, const http::caller_request& request,
                    const http::responder& answer);

    mutable std::mutex mutex_;
    std::vector<run> journal_;
    std::map<std::string, std::size_t> arrivals_;
    // Only for the serving thread.
    std::string odd_entry_;
    // Outlives all that watches it.
    ev::dynamic_loop loop_;
    std::map<std::string, std::unique_ptr<served_target>> targets_;
    // Answers that are due later.
    std::multimap<base::instant, std::function<void()>> due_;
    ev::timer answer_timer_;
    base::monotonic_clock clock_;
    std::atomic<std::size_t> list_calls_ = 0;
    ev::async wake_;
    std::function<void()> action_;
    std::atomic<bool> action_done_ = false;
    std::unique_ptr<http::caller_server> list_;
    std::thread thread_;
};

} // namespace curranthoist::testing
