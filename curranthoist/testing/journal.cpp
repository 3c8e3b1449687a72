#include "curranthoist/testing/journal.hpp"

#include <algorithm>

namespace curranthoist::testing {

namespace {

using nlohmann::json;

constexpr std::int64_t milliseconds_per_second = 1000;

const char* end_text(run_end end)
{
    switch (end) {
    case run_end::running:
        return "running";
    case run_end::completed:
        return "completed";
    case run_end::cancelled:
        return "cancelled";
    }
    return "running";
}

void add_line(std::string& text, const run_record& record)
{
    json line = {{"request_id", record.request_id},
                 {"kind", record.is_order ? "order" : "part"},
                 {"start_ms", record.start_ms},
                 {"end_ms", record.end_ms},
                 {"end", end_text(record.end)}};
    if (!record.is_order) {
        line["snapshot"] = record.snapshot;
    }
    text += line.dump(-1, ' ', false, json::error_handler_t::replace);
    text += '\n';
}

} // namespace

std::uint64_t journal::begin(run_record record, std::size_t slots_in_use)
{
    count_start(record);
    peak_slots_ = std::max(peak_slots_, slots_in_use);
    const std::uint64_t run = ++last_run_;
    if (record.is_order) {
        if (++order_runs_[record.request_id] > 1) {
            ++duplicate_orders_;
        }
        orders_.emplace(run, std::move(record));
        return run;
    }
    parts_.emplace(run, std::move(record));
    if (parts_.size() > max_parts_) {
        parts_.erase(parts_.begin());
    }
    return run;
}

void journal::count_start(const run_record& record)
{
    totals& sums = record.is_order ? order_totals_ : part_totals_;
    ++sums.started;
    sums.last_start_ms = record.start_ms;
    ++starts_by_second_[record.start_ms / milliseconds_per_second];
    if (starts_by_second_.size() > max_seconds) {
        starts_by_second_.erase(starts_by_second_.begin());
    }
    if (!record.is_order) {
        ++starts_by_snapshot_[record.snapshot];
        if (starts_by_snapshot_.size() > max_snapshots) {
            starts_by_snapshot_.erase(starts_by_snapshot_.begin());
        }
    }
}

void journal::finish(std::uint64_t run, std::int64_t end_ms, run_end end)
{
    const auto order = orders_.find(run);
    const auto part = parts_.find(run);
    totals& sums = order != orders_.end() ? order_totals_ : part_totals_;
    ++(end == run_end::completed ? sums.completed : sums.cancelled);
    if (order == orders_.end() && part == parts_.end()) {
        return;
    }
    run_record& record = order != orders_.end() ? order->second : part->second;
    record.end_ms = end_ms;
    record.end = end;
    sums.busy_ms += end_ms - record.start_ms;
}

void journal::note_connections(std::size_t open)
{
    peak_connections_ = std::max(peak_connections_, open);
}

std::string journal::lines() const
{
    std::string text;
    for (const auto& [run, record] : parts_) {
        add_line(text, record);
    }
    for (const auto& [run, record] : orders_) {
        add_line(text, record);
    }
    return text;
}

json journal::summary() const
{
    const auto kind = [](const totals& sums) {
        return json{{"started", sums.started},
                    {"completed", sums.completed},
                    {"cancelled", sums.cancelled},
                    {"busy_ms", sums.busy_ms},
                    {"last_start_ms", sums.last_start_ms}};
    };
    json seconds = json::object();
    for (const auto& [second, count] : starts_by_second_) {
        seconds[std::to_string(second)] = count;
    }
    json snapshots = json::object();
    for (const auto& [version, count] : starts_by_snapshot_) {
        snapshots[std::to_string(version)] = count;
    }
    return {{"parts", kind(part_totals_)},           {"orders", kind(order_totals_)},
            {"duplicate_orders", duplicate_orders_}, {"peak_slots", peak_slots_},
            {"peak_connections", peak_connections_}, {"events", events_},
            {"starts_by_second", seconds},           {"starts_by_snapshot", snapshots}};
}

} // namespace curranthoist::testing
