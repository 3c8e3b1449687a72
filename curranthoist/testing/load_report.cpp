#include "curranthoist/testing/load_report.hpp"

#include <algorithm>
#include <sstream>

namespace curranthoist::testing {

namespace {

using nlohmann::json;
using kind = checked_answer::kind;

constexpr std::int64_t microseconds_per_second = 1'000'000;
constexpr double median = 0.5;
constexpr double p99 = 0.99;
constexpr double p999 = 0.999;

const char* order_outcome(kind what)
{
    switch (what) {
    case kind::served:
        return "ran";
    case kind::refused_not_run:
        return "not run";
    case kind::refused_unknown:
        return "outcome unknown";
    case kind::wrong:
        return "wrong answer";
    }
    return "wrong answer";
}

void add_text_line(std::ostream& out, const std::string& name, const json& from)
{
    const json& latency = from.at("latency_us");
    out << name << ": sent " << from.at("sent") << ", served " << from.at("served")
        << ", partial " << from.at("partial") << ", refused not run "
        << from.at("refused_not_run") << ", refused unknown "
        << from.at("refused_unknown") << ", failed " << from.at("failed") << ", wrong "
        << from.at("wrong") << ", coverage " << from.at("coverage") << ", p50 "
        << latency.at("p50") << " us, p99 " << latency.at("p99") << " us, p99.9 "
        << latency.at("p99.9") << " us, max " << latency.at("max") << " us\n";
}

} // namespace

load_report::figures& load_report::totals(const sent_request& request)
{
    return request.is_order ? orders_ : queries_;
}

load_report::figures& load_report::interval(std::int64_t at_us)
{
    return intervals_[at_us / microseconds_per_second];
}

void load_report::sent(const sent_request& request, std::int64_t at_us,
                       std::int64_t lag_us)
{
    ++totals(request).sent;
    ++interval(at_us).sent;
    max_lag_us_ = std::max(max_lag_us_, lag_us);
}

void load_report::count_answer(figures& into, const checked_answer& answer,
                               std::int64_t latency_us)
{
    switch (answer.what) {
    case kind::served:
        ++into.served;
        into.partial += answer.answered < answer.total ? 1U : 0U;
        into.shards_answered += answer.answered;
        into.shards_total += answer.total;
        into.latencies.add(latency_us);
        return;
    case kind::refused_not_run:
        ++into.refused_not_run;
        return;
    case kind::refused_unknown:
        ++into.refused_unknown;
        return;
    case kind::wrong:
        ++into.wrong;
        return;
    }
}

void load_report::answered(const sent_request& request, const checked_answer& answer,
                           std::int64_t at_us, std::int64_t latency_us)
{
    count_answer(totals(request), answer, latency_us);
    count_answer(interval(at_us), answer, latency_us);
    note_order(request, order_outcome(answer.what));
    if (answer.what == kind::wrong && mistakes_.size() < max_mistakes) {
        mistakes_.push_back(request.request_id + ": " + answer.mistake);
    }
}

void load_report::failed(const sent_request& request, std::string_view error,
                         std::int64_t at_us)
{
    ++totals(request).failed;
    ++interval(at_us).failed;
    ++errors_[std::string(error)];
    note_order(request, "no answer");
}

void load_report::note_order(const sent_request& request, const char* outcome)
{
    if (request.is_order) {
        order_outcomes_[request.request_id] = outcome;
    }
}

std::uint64_t load_report::wrong_answers() const
{
    return queries_.wrong + orders_.wrong;
}

json load_report::figures_json(figures& from)
{
    const double coverage = from.shards_total == 0
                                ? 1.0
                                : static_cast<double>(from.shards_answered) /
                                      static_cast<double>(from.shards_total);
    return {{"sent", from.sent},
            {"served", from.served},
            {"partial", from.partial},
            {"refused_not_run", from.refused_not_run},
            {"refused_unknown", from.refused_unknown},
            {"failed", from.failed},
            {"wrong", from.wrong},
            {"coverage", coverage},
            {"shards_answered", from.shards_answered},
            {"shards_total", from.shards_total},
            {"latency_us",
             {{"p50", from.latencies.quantile(median)},
              {"p99", from.latencies.quantile(p99)},
              {"p99.9", from.latencies.quantile(p999)},
              {"max", from.latencies.quantile(1.0)}}}};
}

json load_report::to_json(bool list_orders)
{
    json intervals = json::array();
    for (auto& [second, each] : intervals_) {
        json line = figures_json(each);
        line["second"] = second;
        intervals.push_back(std::move(line));
    }
    json result = {{"queries", figures_json(queries_)},
                   {"orders", figures_json(orders_)},
                   {"errors", errors_},
                   {"mistakes", mistakes_},
                   {"max_send_lag_us", max_lag_us_},
                   {"intervals", std::move(intervals)}};
    if (list_orders) {
        result["order_outcomes"] = order_outcomes_;
    }
    return result;
}

std::string load_report::to_text()
{
    const json all = to_json(false);
    std::ostringstream out;
    add_text_line(out, "queries", all.at("queries"));
    add_text_line(out, "orders", all.at("orders"));
    for (const auto& [error, count] : errors_) {
        out << "failed, " << error << ": " << count << '\n';
    }
    for (const std::string& mistake : mistakes_) {
        out << "wrong answer to " << mistake << '\n';
    }
    out << "largest send lag: " << max_lag_us_ << " us\n";
    for (const json& each : all.at("intervals")) {
        add_text_line(out, "second " + each.at("second").dump(), each);
    }
    return out.str();
}

} // namespace curranthoist::testing
