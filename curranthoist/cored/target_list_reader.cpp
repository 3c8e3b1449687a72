#include "curranthoist/cored/target_list_reader.hpp"

#include "curranthoist/http/status.hpp"
#include "curranthoist/platform/target_page.hpp"

#include <algorithm>
#include <utility>

namespace curranthoist::cored {

namespace {

// A page comes within a few milliseconds; a later one is asked for again.
constexpr base::duration page_limit{700};
constexpr base::duration retry_after_failure{300};
// A list that never ends is a fault of the platform.
constexpr std::size_t max_pages = 2000;
constexpr double milliseconds_per_second = 1000.0;
constexpr double used_part_of_rate = 0.5;

} // namespace

target_list_reader::target_list_reader(ev::loop_ref loop, const base::endpoint& list,
                                       double calls_per_s, list_handler on_list)
    : client_(loop, list, 1)
    , on_list_(std::move(on_list))
    , timer_(loop)
    , call_time_ms_(calls_per_s > 0
                        ? milliseconds_per_second / (calls_per_s * used_part_of_rate)
                        : 0)
{
    timer_.set<target_list_reader, &target_list_reader::on_timer>(this);
}

void target_list_reader::start()
{
    if (!running_) {
        running_ = true;
        reachable_.reset();
        begin();
    }
}

void target_list_reader::stop()
{
    running_ = false;
    ++reading_;
    timer_.stop();
}

void target_list_reader::on_timer(ev::timer& /*watcher*/, int /*events*/)
{
    begin();
}

void target_list_reader::begin()
{
    ++reading_;
    begun_ = clock_.now();
    targets_.clear();
    next_page_.clear();
    pages_ = 0;
    ask();
}

void target_list_reader::ask()
{
    http::target_call call;
    call.method = "GET";
    call.path = platform::target_page_path(next_page_);
    call.time_limit = page_limit;
    client_.start(std::move(call),
                  [this, reading = reading_](const http::target_result& result) {
                      on_page(reading, result);
                  });
}

void target_list_reader::on_page(std::uint64_t reading, const http::target_result& result)
{
    if (!running_ || reading != reading_) {
        return;
    }
    ++pages_;
    if (result.outcome != http::call_outcome::ok || result.status != http::status::ok) {
        finish(false, std::string(http::outcome_text(result.outcome)) + " status " +
                          std::to_string(result.status));
        return;
    }
    auto page = platform::decode_target_page(result.body);
    if (!page) {
        finish(false, "a page can't be decoded");
        return;
    }
    note_rejected(page->rejected);
    std::move(page->targets.begin(), page->targets.end(), std::back_inserter(targets_));
    if (page->next.empty()) {
        finish(true, "");
        return;
    }
    if (pages_ >= max_pages) {
        finish(false, "the list does not end");
        return;
    }
    next_page_ = std::move(page->next);
    ask();
}

void target_list_reader::note_rejected(const std::vector<std::string>& rejected)
{
    // The same entries come with each reading; they are logged when their number changes.
    if (rejected.size() != last_rejected_) {
        for (const std::string& one : rejected) {
            log_.warn("event=list_entry_rejected reason=\"" + one + "\"");
        }
    }
    last_rejected_ = rejected.size();
}

void target_list_reader::finish(bool complete, const std::string& reason)
{
    const base::instant now = clock_.now();
    if (reachable_ != complete) {
        reachable_ = complete;
        log_.info(
            complete ? "event=list_available targets=" + std::to_string(targets_.size()) +
                           " pages=" + std::to_string(pages_)
                     : "event=list_unavailable reason=\"" + reason + "\"");
    }
    base::duration wait = retry_after_failure;
    if (complete) {
        const auto by_rate = base::duration(
            static_cast<std::int64_t>(static_cast<double>(pages_) * call_time_ms_));
        wait = std::max(std::max(interval, by_rate) - (now - begun_), base::duration(1));
    }
    timer_.start(wait.seconds());
    if (complete) {
        on_list_(std::move(targets_), begun_);
    }
}

} // namespace curranthoist::cored
