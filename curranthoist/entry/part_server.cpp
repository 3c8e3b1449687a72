#include "curranthoist/entry/part_server.hpp"

#include "curranthoist/control/configuration.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace curranthoist::entry {

namespace {

wire::part_reply_message reply_of(std::uint64_t query, std::uint64_t part,
                                  target_answer value)
{
    wire::part_reply_message message;
    message.query_id = query;
    message.part_id = part;
    message.status = value.status;
    message.not_run = value.not_run;
    message.boot_id = value.boot.str();
    message.snapshot = value.snapshot.value();
    message.shard = static_cast<std::uint32_t>(value.shard.value());
    message.shards = value.shards;
    message.queue_length = value.queue_length;
    message.service_time_ms = static_cast<std::uint64_t>(value.service_time.count());
    message.body.assign(value.body.begin(), value.body.end());
    return message;
}

std::string send_id(const std::string& request_id, const part_key& key)
{
    return request_id + "." + key.coordinator.str() + "." + std::to_string(key.query) +
           "." + std::to_string(key.part);
}

// A peer's time left is bounded, so that a damaged message can't hold a slot for long.
base::duration bounded_time(std::uint64_t milliseconds)
{
    constexpr std::uint64_t longest_ms = 600'000;
    return base::duration(static_cast<std::int64_t>(std::min(milliseconds, longest_ms)));
}

} // namespace

part_server::part_server(ev::loop_ref loop, base::vm_id self,
                         settings::policy_settings policies, deferred_calls& deferred,
                         base::counter_registry& metrics, handlers on)
    : loop_(loop)
    , self_(std::move(self))
    , policies_(policies)
    , deferred_(deferred)
    , metrics_(metrics)
    , on_(std::move(on))
{}

void part_server::apply(const control::configuration& configuration)
{
    drop_tasks(configuration);
    for (const auto& [id, given] : configuration.assignments) {
        const auto spec = configuration.targets.find(id);
        if (given.owner != self_ || spec == configuration.targets.end()) {
            continue;
        }
        const auto found = tasks_.find(id);
        if (found == tasks_.end()) {
            take(id, spec->second, given);
        }
        else {
            found->second->set_limits(spec->second);
        }
        if (given.phase == control::assignment_phase::releasing) {
            tasks_.at(id)->release();
        }
    }
    metrics_
        .gauge_named("curranthoist_owned_targets",
                     "Targets whose admission this VM holds")
        .set(static_cast<std::int64_t>(tasks_.size()));
}

void part_server::drop_tasks(const control::configuration& configuration)
{
    for (auto task = tasks_.begin(); task != tasks_.end();) {
        const auto found = configuration.assignments.find(task->first);
        const bool kept = found != configuration.assignments.end() &&
                          found->second.owner == self_ &&
                          found->second.number == task->second->fence();
        if (kept) {
            ++task;
            continue;
        }
        log_.info("gave up target " + task->first.str() + " with fence " +
                  std::to_string(task->second->fence().value()));
        std::erase_if(running_, [&](const auto& entry) {
            return entry.second.target == task->first;
        });
        count_cold(task->first, task->second->service(), false);
        on_.on_dropped(task->first);
        task = tasks_.erase(task);
    }
}

void part_server::count_cold(const base::target_id& id, const base::service_id& service,
                             bool cold)
{
    std::set<base::target_id>& of_service = cold_[service];
    if (cold) {
        of_service.insert(id);
    }
    else {
        of_service.erase(id);
    }
    metrics_
        .gauge_named("curranthoist_cold_targets",
                     "Owned targets that get work at a limited pace only",
                     "service=\"" + service.str() + "\"")
        .set(static_cast<std::int64_t>(of_service.size()));
}

void part_server::take(const base::target_id& id, const control::target_spec& spec,
                       const control::assignment& given)
{
    log_.info("took target " + id.str() + " with fence " +
              std::to_string(given.number.value()));
    target_task::handlers on;
    on.on_fact = [this, id, service = spec.service](const routing::target_fact& fact) {
        count_cold(id, service, fact.cold);
        on_.on_fact(id, fact);
    };
    on.on_released = [this, id, fence = given.number](std::uint64_t pace, bool warm) {
        wire::released_target_message released;
        released.target = id.str();
        released.fence = fence.value();
        released.pace_milli_per_s = pace;
        released.warm = warm;
        on_.on_released(released);
    };
    auto task =
        std::make_unique<target_task>(loop_, id, spec, given, policies_, std::move(on));
    task->set_lease_end(lease_end_);
    tasks_[id] = std::move(task);
}

void part_server::set_lease_end(base::instant end)
{
    lease_end_ = end;
    for (const auto& [id, task] : tasks_) {
        task->set_lease_end(end);
    }
}

void part_server::serve_parts(const base::vm_id& coordinator,
                              const wire::parts_request_message& request,
                              const part_reply_handler& reply)
{
    const base::instant deadline = clock_.now() + bounded_time(request.time_left_ms);
    const auto body =
        std::make_shared<const std::string>(request.body.begin(), request.body.end());
    for (const auto& part : request.parts) {
        const part_key key{coordinator, request.query_id, part->part_id};
        target_request wanted;
        wanted.service = base::service_id(request.service);
        wanted.key = send_id(request.request_id, key);
        wanted.snapshot = base::snapshot_version(request.snapshot);
        wanted.shard = base::shard_number(part->shard);
        wanted.fence = base::fence(part->fence);
        wanted.deadline = deadline;
        wanted.body = body;
        start(key, base::target_id(part->target), std::move(wanted),
              [reply, key](target_answer value) {
                  reply(reply_of(key.query, key.part, std::move(value)));
              });
    }
}

void part_server::serve_order(const base::vm_id& coordinator,
                              const wire::order_request_message& request,
                              order_reply_handler reply)
{
    const part_key key{coordinator, request.query_id, 0};
    target_request wanted;
    wanted.order = true;
    wanted.service = base::service_id(request.service);
    wanted.key = request.request_id;
    wanted.fence = base::fence(request.fence);
    wanted.deadline = clock_.now() + bounded_time(request.time_left_ms);
    wanted.body =
        std::make_shared<const std::string>(request.body.begin(), request.body.end());
    start(key, base::target_id(request.target), std::move(wanted),
          [reply = std::move(reply), key](target_answer value) {
              wire::order_reply_message message;
              message.query_id = key.query;
              message.status = value.status;
              message.not_run = value.not_run;
              message.body.assign(value.body.begin(), value.body.end());
              reply(std::move(message));
          });
}

void part_server::start(const part_key& key, const base::target_id& target,
                        target_request request,
                        std::function<void(target_answer)> on_answer)
{
    const auto task = tasks_.find(target);
    if (task == tasks_.end() || running_.contains(key)) {
        target_answer refused;
        refused.status = task == tasks_.end() ? wire::part_status::not_owner
                                              : wire::part_status::malformed;
        refused.not_run = true;
        deferred_.post([on_answer = std::move(on_answer), refused = std::move(refused)] {
            on_answer(refused);
        });
        return;
    }
    running_[key] = ticket{target, 0};
    const std::uint64_t call = task->second->start(
        std::move(request),
        [this, key, on_answer = std::move(on_answer)](target_answer value) {
            finish(key, on_answer, std::move(value));
        });
    const auto entry = running_.find(key);
    if (entry != running_.end()) {
        entry->second.call = call;
    }
}

void part_server::finish(const part_key& key,
                         const std::function<void(target_answer)>& on_answer,
                         target_answer value)
{
    metrics_
        .counter_named("curranthoist_target_answers_total",
                       "Parts and orders that ended at this owner, by status",
                       std::string("status=\"") +
                           wire::EnumNamepart_status(value.status) + "\"")
        .add();
    deferred_.post([this, key, on_answer, value = std::move(value)] {
        // Cancelled meanwhile.
        if (running_.erase(key) != 0) {
            on_answer(value);
        }
    });
}

void part_server::cancel_part(const part_key& key)
{
    const auto found = running_.find(key);
    if (found == running_.end()) {
        return;
    }
    const ticket cancelled = found->second;
    running_.erase(found);
    const auto task = tasks_.find(cancelled.target);
    if (task != tasks_.end()) {
        task->second->cancel(cancelled.call);
    }
}

void part_server::cancel_all_of(const base::vm_id& coordinator)
{
    std::vector<part_key> parts;
    for (const auto& [key, kept] : running_) {
        if (key.coordinator == coordinator && key.part != 0) {
            parts.push_back(key);
        }
    }
    for (const part_key& key : parts) {
        cancel_part(key);
    }
}

} // namespace curranthoist::entry
