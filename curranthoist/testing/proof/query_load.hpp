#pragma once

#include "curranthoist/http/target_result.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace curranthoist::testing {

// Sends requests from several threads until it is stopped, each thread one after the
// other, and sorts the answers:
//
//     query_load load(4, [&](unsigned thread) { return query(thread % 2, "desk"); });
//     ...
//     load.stop();
//     EXPECT_THAT(load.wrong(), IsEmpty());
class query_load
{
public:
    using sender = std::function<http::target_result(unsigned)>;

    query_load(unsigned threads, sender send)
        : send_(std::move(send))
    {
        for (unsigned i = 0; i < threads; ++i) {
            threads_.emplace_back([this, i] { run(i); });
        }
    }
    ~query_load() { stop(); }
    query_load(const query_load&) = delete;
    query_load& operator=(const query_load&) = delete;

    void stop()
    {
        stopped_ = true;
        for (std::thread& one : threads_) {
            one.join();
        }
        threads_.clear();
    }
    [[nodiscard]] unsigned complete() const { return complete_; }
    [[nodiscard]] unsigned partial() const { return partial_; }
    [[nodiscard]] unsigned not_run() const { return not_run_; }
    // Refusals that leave open whether parts ran; true, but no service.
    [[nodiscard]] unsigned unknown() const { return unknown_; }
    // Answers that are untrue about their coverage or snapshot, other statuses, and
    // connections that broke.
    [[nodiscard]] std::vector<std::string> wrong()
    {
        const std::lock_guard lock(mutex_);
        return wrong_;
    }
    // Counts of all answers, and the last refusal, for a failure's message.
    [[nodiscard]] std::string counts()
    {
        const std::lock_guard lock(mutex_);
        return std::to_string(complete_) + " complete, " + std::to_string(partial_) +
               " partial, " + std::to_string(not_run_) + " not run, " +
               std::to_string(unknown_) + " unknown, " + std::to_string(wrong_.size()) +
               " wrong; last refusal: " + last_refusal_;
    }
    // Checks that every result belongs to the shard, the snapshot and the request that
    // the answer names, and that coverage counts them.
    static bool is_true(const nlohmann::json& body)
    {
        const nlohmann::json& coverage = body["coverage"];
        std::vector<unsigned> shards;
        for (const nlohmann::json& one : body["results"]) {
            const std::string part = one["body"]["request_id"];
            if (one["body"]["shard"] != one["shard"] ||
                one["body"]["snapshot"] != body["snapshot"] ||
                part.rfind(body["request_id"].get<std::string>(), 0) != 0) {
                return false;
            }
            shards.push_back(one["shard"]);
        }
        const std::size_t answered = shards.size();
        for (const nlohmann::json& one : coverage["missing"]) {
            shards.push_back(one["shard"]);
        }
        std::sort(shards.begin(), shards.end());
        const bool single =
            std::adjacent_find(shards.begin(), shards.end()) == shards.end();
        return single && coverage["answered"] == answered &&
               coverage["total"] == shards.size() &&
               coverage["complete"] == coverage["missing"].empty();
    }

private:
    void run(unsigned thread)
    {
        while (!stopped_) {
            sort(send_(thread));
        }
    }
    void sort(const http::target_result& result)
    {
        if (result.outcome == http::call_outcome::could_not_connect) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            return;
        }
        constexpr unsigned ok = 200;
        const auto body = nlohmann::json::parse(result.body, nullptr, false);
        const bool whole = result.outcome == http::call_outcome::ok && body.is_object();
        if (whole && result.status == ok && body.contains("coverage") && is_true(body)) {
            ++(body["coverage"]["complete"] == true ? complete_ : partial_);
        }
        else if (whole && result.status > ok && body.value("outcome", "") == "not run") {
            ++not_run_;
            note_refusal(result.body);
        }
        else if (whole && result.status > ok &&
                 body.value("outcome", "") == "outcome unknown") {
            ++unknown_;
            note_refusal(result.body);
        }
        else {
            const std::lock_guard lock(mutex_);
            wrong_.push_back(std::string(http::outcome_text(result.outcome)) + " " +
                             std::to_string(result.status) + " " + result.body);
        }
    }

    void note_refusal(const std::string& body)
    {
        const std::lock_guard lock(mutex_);
        last_refusal_ = body;
    }

    sender send_;
    std::atomic<bool> stopped_{false};
    std::atomic<unsigned> complete_{0};
    std::atomic<unsigned> partial_{0};
    std::atomic<unsigned> not_run_{0};
    std::atomic<unsigned> unknown_{0};
    std::mutex mutex_;
    std::vector<std::string> wrong_;
    std::string last_refusal_;
    std::vector<std::thread> threads_;
};

} // namespace curranthoist::testing
