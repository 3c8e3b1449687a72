#include "curranthoist/frontd/group_sends.hpp"

#include "curranthoist/frontd/caller_request.hpp"
#include "curranthoist/frontd/gather_links.hpp"
#include "curranthoist/frontd/task_context.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <utility>

namespace curranthoist::frontd {

namespace {

using namespace base::literals;

// Each gatherer gets a copy of the request; the targets share one of a longer body.
constexpr std::size_t max_gathered_body_bytes = std::size_t{16} * 1024;

// Parts that failed are reported before the gatherer has waited for the others.
bool is_first_of_failed(const group_send& group, const wire::gather_report& report)
{
    const bool has_parts = report.parts() != nullptr && report.parts()->size() > 0;
    if (group.separate || has_parts || report.ungathered() == nullptr ||
        report.ungathered()->size() >= group.calls.size()) {
        return false;
    }
    return std::none_of(report.ungathered()->begin(), report.ungathered()->end(),
                        [](const wire::ungathered_part* part) {
                            return part->reason() == wire::ungathered_reason::pending;
                        });
}

} // namespace

bool group_sends::may_gather() const
{
    return request_.route.gathers() && request_.context.gather != nullptr &&
           request_.inbound.body->size() <= max_gathered_body_bytes;
}

std::vector<forwarding::gather_group> group_sends::plan() const
{
    if (!may_gather()) {
        return {};
    }
    task_context& context = request_.context;
    const base::instant now = request_.clock.now();
    const auto away = request_.route.shards.size() < forwarding::min_shards_to_gather
                          ? std::nullopt
                          : context.zones.next(now);
    return forwarding::plan_gather(request_.route.shards, context.gather->available(),
                                   context.directory, context.own_name, now,
                                   away ? &*away : nullptr);
}

void group_sends::divide_second_sends(
    std::vector<forwarding::request_action>& actions) const
{
    if (!may_gather()) {
        return;
    }
    std::vector<forwarding::send_action> sends;
    for (const forwarding::request_action& action : actions) {
        const auto* sent = std::get_if<forwarding::send_action>(&action);
        if (sent != nullptr && !sent->is_first()) {
            sends.push_back(*sent);
        }
    }
    if (sends.size() < 2) {
        return;
    }
    std::set<forwarding::call_id> gathered;
    std::vector<forwarding::request_action> groups;
    for (const forwarding::second_send_group& group : forwarding::plan_second_sends(
             sends, request_.context.gather->available(), request_.context.directory,
             request_.context.own_name)) {
        forwarding::gather_action action;
        action.gatherer = group.gatherer;
        action.separate = true;
        for (const std::size_t index : group.sends) {
            action.calls.push_back(sends[index].call);
            action.shards.push_back(sends[index].shard);
            gathered.insert(sends[index].call);
        }
        groups.emplace_back(std::move(action));
    }
    std::erase_if(actions, [&gathered](const forwarding::request_action& action) {
        const auto* sent = std::get_if<forwarding::send_action>(&action);
        return sent != nullptr && gathered.contains(sent->call);
    });
    // A send comes before the answer to the caller, which ends it again.
    actions.insert(actions.begin(), std::make_move_iterator(groups.begin()),
                   std::make_move_iterator(groups.end()));
}

std::vector<forwarding::request_action>
group_sends::start(const forwarding::gather_action& action,
                   const report_handler& on_report)
{
    const base::instant now = request_.clock.now();
    const std::size_t index =
        request_.sends.add_group({action.gatherer, 0, action.calls, now});
    request_.sends.group(index).separate = action.separate;
    wire::gather_request_message request;
    request.time_left_ms =
        static_cast<std::uint64_t>(std::max(request_.hard_limit - now, 1_ms).count());
    request.objective_ms = static_cast<std::uint64_t>(request_.route.objective.count());
    request.route = request_.route.name;
    request.attempt = request_.inbound.attempt.str();
    request.method = request_.inbound.method;
    request.target = request_.inbound.target;
    request.header_lines = *request_.inbound.header_lines;
    request.body.assign(request_.inbound.body->begin(), request_.inbound.body->end());
    request.separate = action.separate;
    request.top_records = static_cast<std::uint32_t>(request_.route.top_records);
    for (std::size_t i = 0; i < action.calls.size(); ++i) {
        request.services.push_back(request_.run->service_of(action.shards[i]).str());
        target_send& sent = request_.sends.add(action.calls[i]);
        sent.shard = action.shards[i];
        sent.sent = now;
        sent.group = index;
    }
    request_.sends.group(index).request = request_.context.gather->start(
        action.gatherer, std::move(request),
        [on_report, index](const wire::gather_report* report) {
            on_report(index, report);
        });
    std::vector<forwarding::request_action> following;
    if (request_.sends.group(index).request == 0) {
        for (const forwarding::call_id call : action.calls) {
            request_.sends.at(call).open = false;
            auto more = request_.run->on_answer(
                call, forwarding::response_kind::unreachable, now);
            std::move(more.begin(), more.end(), std::back_inserter(following));
        }
    }
    return following;
}

void group_sends::take_parts(const group_send& group, const wire::gather_report& report,
                             std::vector<forwarding::request_action>& actions)
{
    if (report.parts() == nullptr || report.parts()->size() == 0) {
        return;
    }
    gathered_parts taken;
    for (const wire::gathered_part* part : *report.parts()) {
        if (part->shard() >= group.calls.size() || part->signature() == nullptr) {
            continue;
        }
        target_send& sent = request_.sends.at(group.calls[part->shard()]);
        taken.shards.push_back(sent.shard);
        taken.signatures.push_back(part->signature()->str());
        if (sent.open) {
            sent.open = false;
            sent.report = request_.sends.next_report();
            auto more = request_.run->on_answer(group.calls[part->shard()],
                                                forwarding::response_kind::success,
                                                request_.clock.now());
            std::move(more.begin(), more.end(), std::back_inserter(actions));
        }
    }
    if (report.records() != nullptr) {
        taken.records.assign(report.records()->begin(), report.records()->end());
    }
    request_.sends.add_report(std::move(taken));
}

void group_sends::take_ungathered(const group_send& group,
                                  const wire::gather_report& report,
                                  std::vector<forwarding::request_action>& actions)
{
    if (report.ungathered() == nullptr) {
        return;
    }
    const base::instant now = request_.clock.now();
    for (const wire::ungathered_part* part : *report.ungathered()) {
        if (part->shard() >= group.calls.size()) {
            continue;
        }
        const forwarding::call_id call = group.calls[part->shard()];
        target_send& sent = request_.sends.at(call);
        if (!sent.open) {
            continue;
        }
        if (part->target() != nullptr) {
            sent.target = base::target_id(part->target()->str());
            request_.run->set_target(call, sent.target);
        }
        std::vector<forwarding::request_action> more;
        if (part->reason() == wire::ungathered_reason::pending) {
            more = request_.run->on_late(call, now);
        }
        else {
            sent.open = false;
            more =
                request_.run->on_answer(call,
                                        part->reason() == wire::ungathered_reason::not_run
                                            ? forwarding::response_kind::not_run
                                            : forwarding::response_kind::unknown,
                                        now);
        }
        std::move(more.begin(), more.end(), std::back_inserter(actions));
    }
}

std::vector<forwarding::request_action>
group_sends::on_report(std::size_t group_index, const wire::gather_report* report)
{
    group_send& group = request_.sends.group(group_index);
    std::vector<forwarding::request_action> actions;
    if (report != nullptr) {
        group.reported = group.reported || !is_first_of_failed(group, *report);
        take_parts(group, *report, actions);
        take_ungathered(group, *report, actions);
        return actions;
    }
    request_.context.log.info("event=gather_lost id=" + request_.inbound.attempt.str() +
                              " gatherer=" + group.gatherer.str() +
                              " reported=" + (group.reported ? "true" : "false"));
    group.request = 0;
    for (const forwarding::call_id call : group.calls) {
        target_send& sent = request_.sends.at(call);
        if (sent.open) {
            sent.open = false;
            auto more = request_.run->on_answer(call, forwarding::response_kind::unknown,
                                                request_.clock.now());
            std::move(more.begin(), more.end(), std::back_inserter(actions));
        }
    }
    return actions;
}

void group_sends::note_overdue(base::duration report_limit)
{
    const base::instant now = request_.clock.now();
    for (group_send& group : request_.sends.groups()) {
        if (group.request != 0 && !group.reported && !group.overdue && !group.separate &&
            now - group.sent >= report_limit) {
            group.overdue = true;
            request_.context.gather->on_overdue(group.gatherer);
        }
    }
}

void group_sends::end()
{
    for (group_send& group : request_.sends.groups()) {
        if (group.request == 0) {
            continue;
        }
        if (request_.sends.is_complete(group)) {
            request_.context.gather->forget(group.request);
        }
        else {
            request_.context.gather->cancel(group.request);
        }
        group.request = 0;
    }
}

} // namespace curranthoist::frontd
