// Plays every order of events around a rejected order, its late copy and its next sends,
// with the real request and the real client of the targets, on sockets that the test
// controls.
#include "curranthoist/frontd/caller_task.hpp"
#include "curranthoist/frontd/task_context.hpp"
#include "curranthoist/http/caller_server.hpp"
#include "curranthoist/http/internal/listening_socket.hpp"
#include "curranthoist/http/internal/raw_peer.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

namespace curranthoist::frontd {
namespace {

constexpr std::size_t depth = 5;
constexpr std::string_view first_attempt = "a1";
constexpr std::string_view second_attempt = "b2";

// What a scenario varies besides the order of events.
struct variant
{
    const char* name;
    // Whether rejections name the attempt, and whether the second order has a name.
    bool rejections_are_named;
    bool second_is_named;
    std::size_t max_connections;

    // Its bytes hold an address, which would make the test's name differ in each run.
    friend std::ostream& operator<<(std::ostream& out, const variant& one)
    {
        return out << one.name;
    }
};

enum class send_state
{
    open,
    rejected,
    answered,
    reset,
};

// A request that has arrived at a target.
struct arrived_send
{
    std::size_t order;
    int peer;
    send_state state = send_state::open;
    bool copied = false;
};

// A target that does what the test says, when it says so.
class scripted_target
{
public:
    scripted_target()
        : listener_(http::internal::open_listening_socket({"127.0.0.1", 0}))
    {}
    ~scripted_target()
    {
        for (const auto& [peer, input] : peers_) {
            ::close(peer);
        }
        ::close(listener_);
    }
    scripted_target(const scripted_target&) = delete;
    scripted_target& operator=(const scripted_target&) = delete;

    [[nodiscard]] base::endpoint local() const
    {
        return http::internal::bound_endpoint(listener_);
    }
    // Takes what has arrived; calls `on_request(peer, head)` for each request.
    template <class Handler>
    void poll(Handler on_request)
    {
        for (int peer = 0; (peer = ::accept4(listener_, nullptr, nullptr,
                                             SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0;) {
            peers_[peer];
        }
        for (auto& [peer, input] : peers_) {
            char bytes[4096];
            ssize_t size = 0;
            while ((size = ::recv(peer, bytes, sizeof bytes, 0)) > 0) {
                input.append(bytes, static_cast<std::size_t>(size));
            }
            if (size == 0) {
                ended_.insert(peer);
            }
            // The orders have no body.
            if (input.ends_with("\r\n\r\n")) {
                on_request(peer, std::exchange(input, {}));
            }
        }
    }
    [[nodiscard]] bool has_ended(int peer) const { return ended_.contains(peer); }
    [[nodiscard]] bool has(int peer) const { return peers_.contains(peer); }
    static void write(int peer, std::string_view bytes)
    {
        ::send(peer, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    void reset(int peer)
    {
        constexpr linger at_once{1, 0};
        setsockopt(peer, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        ::close(peer);
        peers_.erase(peer);
        ended_.erase(peer);
    }

private:
    int listener_;
    // Input by descriptor.
    std::map<int, std::string> peers_;
    // Those that the client has closed.
    std::set<int> ended_;
};

// One process with two targets, of which the list names the first, and two orders.
class scenario
{
public:
    explicit scenario(const variant& played)
        : played_(played)
        , context_{loop_,
                   forwarding::target_directory({base::zone_id("z"), "vm-1"}),
                   forwarding::extra_send_budget({1.0, 1e6, base::duration(10'000)}),
                   target_pool(loop_, std::make_shared<http::memory_account>(1'000'000),
                               20),
                   base::random_source(1),
                   {},
                   base::logger("request"),
                   {},
                   1}
        , server_(loop_, {.listen = {"127.0.0.1", 0}},
                  [this](http::caller_request request, http::responder answer) {
                      on_request(std::move(request), std::move(answer));
                  })
    {
        deployment::configuration wanted;
        deployment::route route;
        route.name = "r-order";
        route.host = "h";
        route.path_prefix = "/o/";
        route.time_limit = base::duration(30'000);
        route.objective = base::duration(30'000);
        route.max_attempts = 3;
        route.services = {{base::service_id("s"), 1.0}};
        wanted.routes = {route};
        wanted.services[base::service_id("s")].max_connections = played.max_connections;
        table_ = std::make_shared<deployment::route_table>(wanted);
        list_targets();
        begin(0);
    }

    // The events that are possible now, each named by a letter and the order.
    [[nodiscard]] std::vector<std::string> possible() const
    {
        std::vector<std::string> result;
        for (std::size_t order = 0; order < callers_.size(); ++order) {
            if (open_send(order) != nullptr) {
                for (const char* const event :
                     {"reject", "reject+copy", "answer", "reset"}) {
                    result.push_back(event + std::string(" ") + std::to_string(order));
                }
            }
        }
        if (std::any_of(sends_.begin(), sends_.end(), is_uncopied)) {
            result.emplace_back("copy");
            if (callers_.size() == 1) {
                result.emplace_back("copy and order at once");
            }
        }
        if (callers_.size() == 1) {
            result.emplace_back("order");
        }
        if (!lists_second_) {
            result.emplace_back("list another");
        }
        if (!came_back_) {
            result.emplace_back("come back");
        }
        // Elsewhere no call waits for a connection.
        if (!withdrew_ && played_.max_connections == 1) {
            result.emplace_back("withdraw");
        }
        return result;
    }

    void play(const std::string& event)
    {
        if (event == "copy") {
            copy_rejections();
        }
        else if (event == "copy and order at once") {
            // The copy is there before the loop can see it.
            copy_rejections();
            begin(1);
        }
        else if (event == "order") {
            begin(1);
        }
        else if (event == "list another") {
            lists_second_ = true;
            list_targets();
        }
        else if (event == "come back") {
            came_back_ = true;
            context_.directory.apply(
                {.complete = false, .targets = {}, .removed = {id_}});
            context_.pool.retire({id_});
            list_targets();
        }
        else if (event == "withdraw") {
            withdrew_ = true;
            context_.pool.withdraw_unsent([](const base::target_id&) { return true; });
        }
        else {
            play_send(event);
        }
        settle();
    }

    // Answers what is open until each order has its answer.
    void finish()
    {
        const base::instant limit = clock_.now() + base::duration(5000);
        const auto is_answered = [](const auto& one) { return status_of(*one) != 0; };
        while (!std::all_of(callers_.begin(), callers_.end(), is_answered) &&
               clock_.now() < limit) {
            loop_.run(ev::NOWAIT);
            poll();
            for (std::size_t order = 0; order < callers_.size(); ++order) {
                if (arrived_send* const sent = open_send(order)) {
                    respond(*sent);
                }
            }
        }
        EXPECT_TRUE(std::all_of(callers_.begin(), callers_.end(), is_answered))
            << "an order got no answer";
        check();
        for (std::size_t order = 0; order < callers_.size(); ++order) {
            const bool answered = std::any_of(
                sends_.begin(), sends_.end(), [order](const arrived_send& one) {
                    return one.order == order && one.state == send_state::answered;
                });
            if (answered) {
                EXPECT_EQ(status_of(*callers_[order]), 200U)
                    << "a target's answer is lost";
            }
        }
    }
    // Copies that were sent while a later send was open on the same or another
    // connection.
    [[nodiscard]] std::size_t copies_beside_sends() const { return copies_beside_sends_; }

private:
    static bool is_uncopied(const arrived_send& one)
    {
        return one.state == send_state::rejected && !one.copied;
    }
    arrived_send* open_send(std::size_t order) const
    {
        const auto found =
            std::find_if(sends_.begin(), sends_.end(), [order](const arrived_send& one) {
                return one.order == order && one.state == send_state::open;
            });
        return found == sends_.end() ? nullptr : const_cast<arrived_send*>(&*found);
    }
    void list_targets()
    {
        std::vector<deployment::listed_target> listed;
        listed.push_back({id_,
                          base::service_id("s"),
                          base::zone_id("z"),
                          targets_[0].local(),
                          false,
                          {}});
        if (lists_second_) {
            listed.push_back({base::target_id("i-2"),
                              base::service_id("s"),
                              base::zone_id("z"),
                              targets_[1].local(),
                              false,
                              {}});
        }
        context_.directory.apply({.targets = listed, .read_at = clock_.now()});
    }
    [[nodiscard]] std::string name_line(std::size_t order) const
    {
        if (order == 1 && !played_.second_is_named) {
            return {};
        }
        return "Attempt-Id: " + std::string(order == 0 ? first_attempt : second_attempt) +
               "\r\n";
    }
    [[nodiscard]] std::string rejection(std::size_t order) const
    {
        return "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n" +
               (played_.rejections_are_named ? name_line(order) : std::string()) +
               "Content-Length: 0\r\n\r\n";
    }
    void respond(arrived_send& sent)
    {
        sent.state = send_state::answered;
        scripted_target::write(sent.peer, "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n" +
                                              name_line(sent.order) +
                                              "Content-Length: 2\r\n\r\n{}");
    }
    void begin(std::size_t order)
    {
        callers_.push_back(std::make_unique<http::internal::raw_peer>(server_.local()));
        callers_.back()->send("POST /o/" + std::to_string(order) +
                              " HTTP/1.1\r\nHost: h\r\n" + name_line(order) +
                              "Content-Length: 0\r\n\r\n");
        if (order == 0) {
            settle();
        }
    }
    void on_request(http::caller_request request, http::responder answer)
    {
        const deployment::route* const route = table_->find("h", request.target);
        auto task = std::make_shared<caller_task>(
            context_, table_, *route, platform::decode_caller_request(std::move(request)),
            std::move(answer), context_.open_requests.take(1));
        tasks_.push_back(task);
        task->start([] {});
    }
    void play_send(const std::string& event)
    {
        const auto order = static_cast<std::size_t>(event.back() - '0');
        arrived_send& sent = *open_send(order);
        if (event.starts_with("answer")) {
            respond(sent);
        }
        else if (event.starts_with("reset")) {
            sent.state = send_state::reset;
            // The descriptor may serve another connection from now on.
            for (arrived_send& one : sends_) {
                one.copied = one.copied || one.peer == sent.peer;
            }
            targets_[0].has(sent.peer) ? targets_[0].reset(sent.peer)
                                       : targets_[1].reset(sent.peer);
        }
        else {
            sent.state = send_state::rejected;
            sent.copied = event.starts_with("reject+copy");
            scripted_target::write(sent.peer, sent.copied
                                                  ? rejection(order) + rejection(order)
                                                  : rejection(order));
        }
    }
    void copy_rejections()
    {
        const bool has_open = open_send(0) != nullptr || open_send(1) != nullptr;
        for (arrived_send& one : sends_) {
            if (is_uncopied(one)) {
                one.copied = true;
                const bool is_there =
                    targets_[0].has(one.peer) || targets_[1].has(one.peer);
                if (is_there) {
                    scripted_target::write(one.peer, rejection(one.order));
                }
                copies_beside_sends_ += has_open && is_there ? 1 : 0;
            }
        }
    }
    void poll()
    {
        for (scripted_target& target : targets_) {
            target.poll([this](int peer, const std::string& head) {
                const std::size_t order = head.starts_with("POST /o/0 ") ? 0 : 1;
                for (const arrived_send& one : sends_) {
                    EXPECT_TRUE(one.order != order || one.state == send_state::rejected)
                        << "sent again although an earlier send may have run";
                }
                sends_.push_back({order, peer});
            });
        }
    }
    // Lets everything that is under way arrive.
    void settle()
    {
        constexpr int quiet_turns = 12;
        std::size_t last = ~std::size_t{0};
        for (int quiet = 0; quiet < quiet_turns; ++quiet) {
            loop_.run(ev::NOWAIT);
            poll();
            std::size_t progress = sends_.size() + tasks_.size();
            for (const auto& caller : callers_) {
                progress += caller->read().size();
            }
            quiet = progress == last ? quiet : 0;
            last = progress;
        }
        check();
    }
    static unsigned status_of(http::internal::raw_peer& caller)
    {
        const std::string& answer = caller.read();
        constexpr std::size_t at = sizeof "HTTP/1.1 " - 1;
        return answer.size() > at + 3
                   ? static_cast<unsigned>(std::stoi(answer.substr(at, 3)))
                   : 0;
    }
    // An order whose send is open, or may have run, is not refused; one whose send is
    // open has no answer at all, and its connection is still there.
    void check()
    {
        for (std::size_t order = 0; order < callers_.size(); ++order) {
            const unsigned status = status_of(*callers_[order]);
            const arrived_send* const open = open_send(order);
            if (open != nullptr) {
                EXPECT_EQ(status, 0U) << "answered while it runs";
                EXPECT_FALSE(targets_[0].has_ended(open->peer) ||
                             targets_[1].has_ended(open->peer))
                    << "a connection was closed while its request runs";
            }
            const bool may_have_run = std::any_of(
                sends_.begin(), sends_.end(), [order](const arrived_send& one) {
                    return one.order == order && one.state != send_state::rejected;
                });
            EXPECT_FALSE(may_have_run && status == 503U) << "refused although it may run";
        }
    }

    variant played_;
    ev::dynamic_loop loop_;
    base::monotonic_clock clock_;
    const base::target_id id_{"i-1"};
    scripted_target targets_[2];
    task_context context_;
    std::shared_ptr<const deployment::route_table> table_;
    std::vector<std::shared_ptr<caller_task>> tasks_;
    http::caller_server server_;
    std::vector<std::unique_ptr<http::internal::raw_peer>> callers_;
    std::deque<arrived_send> sends_;
    bool lists_second_ = false;
    bool came_back_ = false;
    bool withdrew_ = false;
    std::size_t copies_beside_sends_ = 0;
};

class rejection_order_test : public testing::TestWithParam<variant>
{};

// Guards against an order that is refused, or sent once more, while it runs, because a
// late copy of a rejection was taken for the answer to a send that was made after it.
// Plays all orders of events up to `depth`.
TEST_P(rejection_order_test, a_copy_of_a_rejection_ends_no_later_send)
{
    // The choice at each step of one order, and how many there were.
    std::vector<std::pair<std::size_t, std::size_t>> choices;
    std::size_t orders = 0;
    std::size_t copies = 0;
    do {
        scenario played(GetParam());
        std::string story;
        for (std::size_t step = 0; step < depth; ++step) {
            const std::vector<std::string> events = played.possible();
            if (step == choices.size()) {
                choices.emplace_back(0, events.size());
            }
            const std::size_t index = choices[step].first;
            if (index >= events.size()) {
                break;
            }
            story += events[index] + "; ";
            played.play(events[index]);
        }
        played.finish();
        ++orders;
        copies += played.copies_beside_sends();
        ASSERT_FALSE(HasFailure()) << story;
        while (!choices.empty() && choices.back().first + 1 >= choices.back().second) {
            choices.pop_back();
        }
        if (!choices.empty()) {
            ++choices.back().first;
        }
    } while (!choices.empty());
    std::cout << orders << " orders, " << copies << " copies beside a later send\n";
    EXPECT_GT(copies, 0U);
}

INSTANTIATE_TEST_SUITE_P(variants, rejection_order_test,
                         testing::Values(variant{"named", true, true, 4},
                                         variant{"one_connection", true, true, 1},
                                         variant{"rejections_without_name", false, true,
                                                 4},
                                         variant{"order_without_name", true, false, 4}));

} // namespace
} // namespace curranthoist::frontd
