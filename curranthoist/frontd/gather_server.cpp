#include "curranthoist/frontd/gather_server.hpp"

#include "curranthoist/frontd/gather_task.hpp"
#include "curranthoist/frontd/kept_records.hpp"
#include "curranthoist/frontd/send_memory.hpp"
#include "curranthoist/frontd/task_context.hpp"

#include <utility>

namespace curranthoist::frontd {

gather_server::gather_server(ev::loop_ref loop, const base::endpoint& local,
                             task_context& context, wire::peer_account::limits accepted)
    : loop_(loop)
    , context_(context)
    , account_(std::make_shared<wire::peer_account>(accepted))
    , start_timer_(loop)
    , listener_(loop, local, [this](int descriptor) { on_accept(descriptor); })
{
    start_timer_.set<gather_server, &gather_server::on_start>(this);
}

gather_server::~gather_server()
{
    for (const auto& [key, task] : tasks_) {
        task->cancel();
    }
}

void gather_server::on_accept(int descriptor)
{
    const std::uint64_t number = ++last_connection_;
    auto& added = connections_[number];
    added = std::make_unique<wire::peer_connection>(
        loop_, descriptor,
        [this, number](const wire::envelope& message) { on_message(number, message); },
        [this, number](const std::string&) { on_close(number); }, account_);
    added->expect_message_within(wire::hello_limit);
}

void gather_server::on_message(std::uint64_t connection, const wire::envelope& message)
{
    if (const auto* request = message.body_as_gather_request()) {
        on_request(connection, *request);
    }
    else if (const auto* ended = message.body_as_gather_cancel()) {
        cancel({connection, ended->id()});
    }
    else if (message.body_as_hello() == nullptr) {
        log_.warn("event=connection_closed reason=\"unexpected message\"");
        connections_.at(connection)->close();
        on_close(connection);
    }
}

void gather_server::on_request(std::uint64_t connection,
                               const wire::gather_request& request)
{
    const std::size_t count =
        request.services() == nullptr ? 0 : request.services()->size();
    const auto bytes_of = [](const auto* field) -> std::size_t {
        return field == nullptr ? 0 : field->size();
    };
    // Its body is held until its last send has ended.
    auto place = context_.open_requests.take(counted_sends(
        {.sends = count,
         .head_bytes = bytes_of(request.attempt()) + bytes_of(request.method()) +
                       bytes_of(request.target()) + bytes_of(request.header_lines()),
         .kept_answer_bytes = kept_answer_bytes(request.top_records()),
         .body_bytes = bytes_of(request.body())}));
    if (stopping_ || !place || !context_.configuration ||
        !context_.directory.has_listing()) {
        wire::gather_report_message refusal;
        refusal.id = request.id();
        for (std::size_t i = 0; i < count; ++i) {
            auto entry = std::make_unique<wire::ungathered_part_message>();
            entry->shard = static_cast<std::uint32_t>(i);
            entry->reason = wire::ungathered_reason::not_run;
            refusal.ungathered.push_back(std::move(entry));
        }
        send(connection, std::move(refusal));
        return;
    }
    const task_key key{connection, request.id()};
    auto task = std::make_shared<gather_task>(context_, request, std::move(place));
    if (!tasks_.emplace(key, task).second) {
        log_.warn("event=gather_request_repeated id=" + std::to_string(request.id()));
        return;
    }
    unstarted_.push_back(key);
    if (!start_timer_.is_active()) {
        start_timer_.start(0.0);
    }
}

void gather_server::on_start(ev::timer& /*watcher*/, int /*events*/)
{
    start_timer_.stop();
    for (const task_key& key : std::exchange(unstarted_, {})) {
        start(key);
    }
}

void gather_server::start(const task_key& key)
{
    const auto found = tasks_.find(key);
    if (found == tasks_.end()) {
        return;
    }
    const std::shared_ptr<gather_task> task = found->second;
    task->start(
        *context_.configuration,
        [this, connection = key.first](wire::gather_report_message report) {
            send(connection, std::move(report));
        },
        [this, key] {
            if (auto ended = tasks_.extract(key); !ended.empty()) {
                ended_tasks_.push_back(std::move(ended.mapped()));
            }
        });
}

void gather_server::send(std::uint64_t connection, wire::gather_report_message report)
{
    const auto found = connections_.find(connection);
    if (found != connections_.end()) {
        found->second->send(std::move(report));
    }
}

void gather_server::cancel(task_key key)
{
    if (auto found = tasks_.extract(key); !found.empty()) {
        found.mapped()->cancel();
        ended_tasks_.push_back(std::move(found.mapped()));
    }
}

void gather_server::on_close(std::uint64_t connection)
{
    if (auto found = connections_.extract(connection); !found.empty()) {
        ended_connections_.push_back(std::move(found.mapped()));
    }
    auto each = tasks_.lower_bound({connection, 0});
    while (each != tasks_.end() && each->first.first == connection) {
        const task_key key = each->first;
        ++each;
        cancel(key);
    }
}

void gather_server::drop_ended()
{
    ended_tasks_.clear();
    ended_connections_.clear();
}

} // namespace curranthoist::frontd
