#pragma once

#include "curranthoist/base/instant.hpp"
#include "curranthoist/base/logger.hpp"
#include "curranthoist/base/monotonic_clock.hpp"
#include "curranthoist/base/zone_traffic.hpp"
#include "curranthoist/deployment/gatherer.hpp"
#include "curranthoist/wire/peer_dialer.hpp"

#include <ev++.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace curranthoist::frontd {

// A front process's connections to the gatherers that it uses, and the requests that are
// open on them.
class gather_links
{
public:
    // Receives each report of a request; null once if no more reports come, because the
    // connection is lost. It may start and cancel requests.
    using report_handler = std::function<void(const wire::gather_report*)>;

    // A gatherer that left a request without a report for longer than its sender waits is
    // not used for this time.
    static constexpr base::duration avoid_time{2000};
    // A connection is made anew if nothing has come on it for this time while a report
    // is due.
    static constexpr base::duration silence_limit{1000};

    // `traffic` counts what is exchanged with gatherers; it must outlive this object.
    gather_links(ev::loop_ref loop, std::string own_name, base::zone_traffic& traffic);
    ~gather_links();
    gather_links(const gather_links&) = delete;
    gather_links& operator=(const gather_links&) = delete;

    // Replaces the gatherers. Requests that are open at those that are gone are lost.
    void set_gatherers(std::vector<deployment::gatherer> gatherers);
    [[nodiscard]] const std::vector<deployment::gatherer>& gatherers() const
    {
        return gatherers_;
    }
    // The gatherers that can take a request now.
    [[nodiscard]] std::vector<deployment::gatherer> available() const;

    // Sends a request, whose id is set here, and returns that id; 0 if the gatherer can't
    // be reached, in which case nothing was sent.
    std::uint64_t start(const base::vm_id& gatherer, wire::gather_request_message request,
                        report_handler on_report);
    // Ends a request; its handler is not called any more. The gatherer ends its calls.
    void cancel(std::uint64_t id);
    // The same for a request whose last report has come.
    void forget(std::uint64_t id) { requests_.erase(id); }
    // Records that a request's report is overdue.
    void on_overdue(const base::vm_id& gatherer);
    // Makes connections anew that have fallen silent; call it now and then.
    void check();

private:
    struct link;
    struct open_request
    {
        base::vm_id gatherer;
        base::instant sent_at;
        bool reported = false;
        report_handler on_report;
    };

    [[nodiscard]] static wire::hello_message hello(const std::string& own_name);
    void on_message(link& from, const wire::envelope& message);
    // Ends all requests that are open at a gatherer.
    void lose_requests(const base::vm_id& gatherer);

    ev::loop_ref loop_;
    std::string own_name_;
    base::zone_traffic& traffic_;
    base::monotonic_clock clock_;
    base::logger log_{"gather"};
    std::vector<deployment::gatherer> gatherers_;
    std::map<base::vm_id, std::unique_ptr<link>> links_;
    std::map<std::uint64_t, open_request> requests_;
    std::uint64_t last_id_ = 0;
};

} // namespace curranthoist::frontd
