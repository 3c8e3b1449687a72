#include "curranthoist/frontd/gather_links.hpp"

#include "curranthoist/forwarding/gather_plan.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace curranthoist::frontd {

struct gather_links::link
{
    deployment::gatherer gatherer;
    base::instant avoid_until;
    base::instant last_received;
    std::unique_ptr<wire::peer_dialer> dialer;
};

gather_links::gather_links(ev::loop_ref loop, std::string own_name,
                           base::zone_traffic& traffic)
    : loop_(loop)
    , own_name_(std::move(own_name))
    , traffic_(traffic)
{}

gather_links::~gather_links() = default;

wire::hello_message gather_links::hello(const std::string& own_name)
{
    wire::hello_message message;
    message.protocol = wire::protocol_version;
    message.sender = wire::role::entry;
    message.id = own_name;
    return message;
}

void gather_links::set_gatherers(std::vector<deployment::gatherer> gatherers)
{
    gatherers_ = std::move(gatherers);
    std::set<base::vm_id> wanted;
    for (const auto& [zone, names] : forwarding::order_gatherers(gatherers_, own_name_)) {
        const std::size_t linked =
            std::min(names.size(), forwarding::linked_gatherers_per_zone);
        wanted.insert(names.begin(), names.begin() + static_cast<std::ptrdiff_t>(linked));
    }
    std::vector<base::vm_id> gone;
    for (const auto& [name, one] : links_) {
        const bool same = std::find(gatherers_.begin(), gatherers_.end(),
                                    one->gatherer) != gatherers_.end();
        if (!same || !wanted.contains(name)) {
            gone.push_back(name);
        }
    }
    for (const base::vm_id& name : gone) {
        links_.erase(name);
        lose_requests(name);
    }
    for (const deployment::gatherer& gatherer : gatherers_) {
        if (!wanted.contains(gatherer.name) || links_.contains(gatherer.name)) {
            continue;
        }
        auto& added = links_[gatherer.name];
        added = std::make_unique<link>();
        link& one = *added;
        one.gatherer = gatherer;
        one.dialer = std::make_unique<wire::peer_dialer>(
            loop_, gatherer.address,
            [this, &one] {
                one.last_received = clock_.now();
                one.dialer->send(hello(own_name_));
            },
            [this, &one](const wire::envelope& message) { on_message(one, message); },
            [this, &one](const std::string& reason) {
                log_.info("event=gatherer_lost gatherer=" + one.gatherer.name.str() +
                          " reason=\"" + reason + "\"");
                lose_requests(one.gatherer.name);
            });
        one.dialer->count_traffic(
            &traffic_.with(base::traffic_cause::gather, gatherer.zone));
    }
}

std::vector<deployment::gatherer> gather_links::available() const
{
    const base::instant now = clock_.now();
    std::vector<deployment::gatherer> result;
    for (const auto& [name, one] : links_) {
        if (one->dialer->is_connected() && one->avoid_until <= now) {
            result.push_back(one->gatherer);
        }
    }
    return result;
}

std::uint64_t gather_links::start(const base::vm_id& gatherer,
                                  wire::gather_request_message request,
                                  report_handler on_report)
{
    const auto found = links_.find(gatherer);
    if (found == links_.end()) {
        return 0;
    }
    const std::uint64_t id = ++last_id_;
    request.id = id;
    if (!found->second->dialer->send(std::move(request))) {
        return 0;
    }
    requests_[id] = {gatherer, clock_.now(), false, std::move(on_report)};
    return id;
}

void gather_links::cancel(std::uint64_t id)
{
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        return;
    }
    if (const auto at = links_.find(found->second.gatherer); at != links_.end()) {
        wire::gather_cancel_message message;
        message.id = id;
        at->second->dialer->send(message);
    }
    requests_.erase(found);
}

void gather_links::on_overdue(const base::vm_id& gatherer)
{
    const auto found = links_.find(gatherer);
    const base::instant now = clock_.now();
    if (found != links_.end() && found->second->avoid_until <= now) {
        found->second->avoid_until = now + avoid_time;
        log_.info("event=gatherer_avoided gatherer=" + gatherer.str() + " silent_ms=" +
                  std::to_string((now - found->second->last_received).count()));
    }
}

void gather_links::check()
{
    const base::instant now = clock_.now();
    std::set<base::vm_id> silent;
    for (const auto& [id, one] : requests_) {
        const auto found = links_.find(one.gatherer);
        if (!one.reported && now - one.sent_at > silence_limit && found != links_.end() &&
            now - found->second->last_received > silence_limit) {
            silent.insert(one.gatherer);
        }
    }
    for (const base::vm_id& name : silent) {
        links_.at(name)->dialer->reconnect();
        lose_requests(name);
    }
}

void gather_links::on_message(link& from, const wire::envelope& message)
{
    from.last_received = clock_.now();
    const wire::gather_report* report = message.body_as_gather_report();
    const auto found = report == nullptr ? requests_.end() : requests_.find(report->id());
    if (found == requests_.end() || found->second.gatherer != from.gatherer.name) {
        return;
    }
    found->second.reported = true;
    // A copy, because the handler may end the request.
    const report_handler handler = found->second.on_report;
    handler(report);
}

void gather_links::lose_requests(const base::vm_id& gatherer)
{
    std::vector<report_handler> lost;
    for (auto each = requests_.begin(); each != requests_.end();) {
        if (each->second.gatherer == gatherer) {
            lost.push_back(std::move(each->second.on_report));
            each = requests_.erase(each);
        }
        else {
            ++each;
        }
    }
    for (const report_handler& handler : lost) {
        handler(nullptr);
    }
}

} // namespace curranthoist::frontd
