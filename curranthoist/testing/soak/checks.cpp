#include "curranthoist/testing/soak/checks.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <utility>

namespace curranthoist::testing::soak_checks {

namespace {

using request = soak_observation::request;
using request_kind = soak_observation::request_kind;

// The routes of platform_fixture::configuration().
constexpr std::size_t shards = 2;
constexpr std::size_t top_records = 3;
constexpr double min_share = 0.5;
constexpr std::size_t max_attempts = 2;
constexpr base::duration time_limit{2000};
constexpr base::duration late_slack{500};
// What a cold target bears beyond its rate of 0, in one second.
constexpr std::size_t cold_slack = 5;
constexpr base::duration second{1000};
// A disturbed VM counts as one for this long after the disturbance.
constexpr base::duration contact_time{4000};
constexpr std::size_t record_bytes = 16;

bool has_response(const request& one)
{
    return one.result.outcome == http::call_outcome::ok;
}

bool is_success(const request& one)
{
    return has_response(one) && one.result.status == 200;
}

std::string service_of(const std::string& target)
{
    return target.substr(0, target.rfind('-'));
}

std::vector<std::string> parts_of(const request& one)
{
    std::vector<std::string> parts;
    std::string text = one.result.header("Part-Stamps").value_or("");
    std::erase(text, ' ');
    while (!text.empty()) {
        const std::size_t comma = std::min(text.find(','), text.size());
        parts.push_back(text.substr(0, comma));
        text.erase(0, comma + 1);
    }
    return parts;
}

std::string greatest_records(const std::set<std::string>& services)
{
    std::vector<std::string> records;
    for (const std::string& service : services) {
        const std::string all = stand_in_platform::records_of(service);
        for (std::size_t at = 0; at < all.size(); at += record_bytes) {
            records.push_back(all.substr(at, record_bytes));
        }
    }
    std::sort(records.begin(), records.end(), std::greater<>());
    std::string result;
    for (std::size_t i = 0; i < std::min(records.size(), top_records); ++i) {
        result += records[i];
    }
    return result;
}

// What is wrong with a gathered response; empty if nothing is.
std::string query_fault(const request& one)
{
    const std::vector<std::string> parts = parts_of(one);
    std::set<std::string> services;
    for (const std::string& part : parts) {
        const std::size_t dot = part.find('.');
        if (dot == std::string::npos || part.substr(dot + 1) != one.attempt) {
            return "names the part " + part + " of another request";
        }
        if (!services.insert(service_of(part.substr(0, dot))).second) {
            return "names a shard twice";
        }
    }
    const std::string missing = one.result.header("Missing-Parts").value_or("0");
    if (std::to_string(shards - parts.size()) != missing) {
        return "counts " + missing + " missing shards with " +
               std::to_string(parts.size()) + " parts";
    }
    if (static_cast<double>(parts.size()) < min_share * shards) {
        return "has too few shards";
    }
    return one.result.body == greatest_records(services)
               ? ""
               : "does not hold the greatest records of its parts";
}

std::string single_fault(const request& one)
{
    const std::string stamp = one.result.header("Server-Stamp").value_or("");
    if (stamp.substr(stamp.find('.') + 1) != one.attempt) {
        return "has the signature " + stamp;
    }
    return one.result.body == stand_in_platform::records_of("single")
               ? ""
               : "has another body than the target gave";
}

std::map<std::string, std::size_t> runs_by_attempt(const soak_observation& seen)
{
    std::map<std::string, std::size_t> runs;
    for (const auto& run : seen.runs) {
        ++runs[run.attempt];
    }
    return runs;
}

bool is_disturbed(const soak_observation& seen, const request& one)
{
    return std::any_of(seen.disturbances.begin(), seen.disturbances.end(),
                       [&](const auto& each) {
                           return each.vm == one.vm && each.from <= one.ended &&
                                  one.sent <= each.to + contact_time;
                       });
}

} // namespace

std::vector<std::string> wrong_responses(const soak_observation& seen)
{
    std::vector<std::string> found;
    for (const request& one : seen.requests) {
        if (!is_success(one)) {
            continue;
        }
        const std::string fault =
            one.kind == request_kind::query ? query_fault(one) : single_fault(one);
        if (!fault.empty()) {
            found.push_back("the response to " + one.attempt + " " + fault);
        }
    }
    return found;
}

std::vector<std::string> repeated_orders(const soak_observation& seen)
{
    std::vector<std::string> found;
    const auto runs = runs_by_attempt(seen);
    for (const request& one : seen.requests) {
        const auto ran = runs.find(one.attempt);
        if (one.kind == request_kind::order && ran != runs.end() && ran->second > 1) {
            found.push_back("order " + one.attempt + " ran " +
                            std::to_string(ran->second) + " times");
        }
    }
    return found;
}

std::vector<std::string> untrue_refusals(const soak_observation& seen)
{
    std::vector<std::string> found;
    const auto runs = runs_by_attempt(seen);
    for (const request& one : seen.requests) {
        const unsigned status = has_response(one) ? one.result.status : 0;
        const bool refused =
            status == 408 || status == 421 || status == 429 || status == 503;
        if (one.kind == request_kind::order && refused && runs.contains(one.attempt)) {
            found.push_back("order " + one.attempt + " was refused with " +
                            std::to_string(status) + " and ran");
        }
    }
    return found;
}

std::vector<std::string> too_many_sends(const soak_observation& seen)
{
    std::vector<std::string> found;
    std::map<std::pair<std::string, std::string>, std::size_t> sends;
    for (const auto& run : seen.runs) {
        if (++sends[{run.attempt, service_of(run.target)}] == max_attempts + 1) {
            found.push_back("request " + run.attempt + " ran on more than " +
                            std::to_string(max_attempts) + " targets of " +
                            service_of(run.target));
        }
    }
    return found;
}

std::vector<std::string> late_answers(const soak_observation& seen)
{
    std::vector<std::string> found;
    for (const request& one : seen.requests) {
        if (one.ended - one.sent > time_limit + late_slack && !is_disturbed(seen, one)) {
            found.push_back("request " + one.attempt + " to vm-" +
                            std::to_string(one.vm) + " took " +
                            std::to_string((one.ended - one.sent).count()) + " ms");
        }
    }
    return found;
}

std::vector<std::string> cold_floods(const soak_observation& seen)
{
    std::vector<std::string> found;
    for (const auto& period : seen.cold) {
        std::vector<base::instant> times;
        for (const auto& run : seen.runs) {
            if (run.target == period.target && run.at >= period.from &&
                run.at < period.to) {
                times.push_back(run.at);
            }
        }
        std::sort(times.begin(), times.end());
        for (std::size_t i = cold_slack; i < times.size(); ++i) {
            if (times[i] - times[i - cold_slack] < second) {
                found.push_back("cold target " + period.target +
                                " got more than 5 requests in a second");
                break;
            }
        }
    }
    return found;
}

std::vector<std::string> barred_runs(const soak_observation& seen)
{
    std::vector<std::string> found;
    for (const auto& period : seen.barred) {
        const auto runs =
            std::count_if(seen.runs.begin(), seen.runs.end(), [&](const auto& run) {
                return run.target == period.target && run.at >= period.from &&
                       run.at < period.to;
            });
        if (runs > 0) {
            found.push_back("target " + period.target + " got " + std::to_string(runs) +
                            " requests while it was to get none");
        }
    }
    return found;
}

std::vector<std::string> configuration_faults(const soak_observation& seen)
{
    std::vector<std::string> found;
    for (const auto& read : seen.readings) {
        for (const auto& acknowledged : seen.acknowledgements) {
            if (acknowledged.at < read.sent && acknowledged.version > read.version) {
                found.push_back("version " + std::to_string(read.version) +
                                " was read after version " +
                                std::to_string(acknowledged.version) +
                                " was acknowledged");
                break;
            }
        }
    }
    for (const std::string& one : seen.invalid_acknowledged) {
        found.push_back("an invalid configuration was acknowledged: " + one);
    }
    return found;
}

std::vector<std::string> cut_requests(const soak_observation& seen)
{
    std::vector<std::string> found;
    for (const request& one : seen.stop_requests) {
        const bool never_sent =
            one.result.outcome == http::call_outcome::could_not_connect;
        if (!has_response(one) && !never_sent) {
            found.push_back("request " + one.attempt + " to the stopping vm-" +
                            std::to_string(one.vm) + " was cut: " +
                            std::string(http::outcome_text(one.result.outcome)));
        }
    }
    return found;
}

std::vector<std::string> own_ends(const soak_observation& seen)
{
    return seen.own_ends;
}

std::vector<std::string> all(const soak_observation& seen)
{
    std::vector<std::string> found;
    for (const auto check :
         {wrong_responses, repeated_orders, untrue_refusals, too_many_sends, late_answers,
          cold_floods, barred_runs, configuration_faults, cut_requests, own_ends}) {
        for (std::string& one : check(seen)) {
            found.push_back(std::move(one));
        }
    }
    return found;
}

} // namespace curranthoist::testing::soak_checks
