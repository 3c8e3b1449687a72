"""The figures that scripts/bench derives from a load report and the samples around it."""

import bench_probe as probe


def share(part, whole):
    return part / whole if whole else 0.0


def percent(part, whole):
    return 100.0 * share(part, whole)


def of_load(report):
    """Latency, coverage and refusals as the callers saw them."""
    queries, orders = report["queries"], report["orders"]
    latency = queries["latency_us"]
    complete = queries["served"] - queries["partial"]
    yield "query_rate_sent", queries["sent"], "queries"
    for name in ("p50", "p99", "p99.9"):
        yield name, latency[name] / 1000, "ms"
    yield "coverage", percent(queries["shards_answered"], queries["shards_total"]), "percent"
    yield "complete", percent(complete, queries["sent"]), "percent"
    yield "refused", percent(queries["refused_not_run"] + queries["refused_unknown"],
                             queries["sent"]), "percent"
    yield "failed", percent(queries["failed"], queries["sent"]), "percent"
    yield "wrong", queries["wrong"] + orders["wrong"], "answers"
    yield "order_p99", orders["latency_us"]["p99"] / 1000, "ms"
    yield "orders_sent", orders["sent"], "orders"
    yield "orders_ran", percent(orders["served"], orders["sent"]), "percent"
    yield "orders_unknown", percent(orders["refused_unknown"], orders["sent"]), "percent"


def event_growth(before, after, *names):
    total = 0
    for target, summary in after.journals.items():
        earlier = before.journals.get(target, {"events": {}})["events"]
        for name in names:
            total += summary["events"].get(name, 0) - earlier.get(name, 0)
    return total


def of_sheds(before, after):
    answers = probe.difference(after.metrics, before.metrics,
                               "curranthoist_target_answers_total")
    shed = probe.difference(after.metrics, before.metrics,
                            "curranthoist_target_answers_total", 'status="shed"')
    yield "shed_by_owners", percent(shed, answers), "percent"
    yield "shed_cold_by_targets", event_growth(before, after, "shed_cold"), "requests"
    # A well-kept limit leaves both at 0: the stand-in refuses what exceeds it.
    yield "requests_beyond_slots", event_growth(before, after, "shed_slots"), "requests"
    yield "connections_beyond_limit", event_growth(before, after,
                                                   "excess_connections"), "connections"


def of_extra(report, before, after):
    started = probe.parts_started(after.journals) - probe.parts_started(before.journals)
    asked = report["queries"]["shards_total"]
    sends = probe.difference(after.metrics, before.metrics,
                             "curranthoist_extra_sends_total")
    yield "extra_load", percent(started - asked, asked), "percent"
    yield "hedges_and_retries", percent(sends, asked), "percent"


def of_limits(system, after):
    """The highest use of a limit at any target since the fleet's start."""
    slots = connections = duplicates = 0.0
    for target in system.targets:
        summary = after.journals.get(target.name)
        if summary:
            slots = max(slots, percent(summary["peak_slots"], target.service.slots))
            connections = max(connections, percent(summary["peak_connections"],
                                                   target.service.connections))
            duplicates += summary["duplicate_orders"]
    yield "peak_slots_of_limit", slots, "percent"
    yield "peak_connections_of_limit", connections, "percent"
    yield "duplicate_orders", duplicates, "orders"


def of_machine(before, after):
    parts = sum(one["parts"]["completed"] for one in after.journals.values()) - sum(
        one["parts"]["completed"] for one in before.journals.values())
    used = probe.entry_processor_seconds(before, after)
    yield "parts_per_core_second", share(parts, used), "parts"
    yield "machine_idle", probe.idle_share(before, after), "percent"


def of_intervals(report, ordinary_p99, acts_at):
    """Latency in 1 s intervals; `acts_at` is the second of the first operator's action."""
    per_second = {one["second"]: one["latency_us"]["p99"] / 1000
                  for one in report["intervals"] if one["served"]}
    before = [p99 for second, p99 in per_second.items() if second < acts_at]
    later = [p99 for second, p99 in per_second.items() if second >= acts_at]
    worst = max(later, default=0.0)
    yield "ordinary_p99", ordinary_p99, "ms"
    yield "worst_interval_before", max(before, default=0.0), "ms"
    yield "worst_interval_p99", worst, "ms"
    yield "worst_interval_ratio", share(worst, ordinary_p99), "times"
    for second, p99 in sorted(per_second.items()):
        yield f"interval_{second:02}_p99", p99, "ms"


def starts_between(summaries, names, first_s, last_s):
    """Starts at the named targets in whole seconds of the wall clock."""
    return sum(count for name in names if name in summaries
               for second, count in summaries[name]["starts_by_second"].items()
               if first_s <= int(second) < last_s)
