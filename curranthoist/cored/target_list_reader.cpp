#include "curranthoist/cored/target_list_reader.hpp"

#include "curranthoist/http/status.hpp"
#include "curranthoist/platform/target_page.hpp"

#include <algorithm>
#include <iterator>
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
// Maximum number of rejected entries of one reading that are logged.
constexpr std::size_t max_logged_entries = 20;

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

void target_list_reader::start(base::term term)
{
    if (!running_ || term_ != term) {
        running_ = true;
        term_ = term;
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
    rejected_count_ = 0;
    rejected_.clear();
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
    rejected_count_ += page->rejected_count;
    if (rejected_.size() < max_logged_entries) {
        std::move(page->rejected.begin(), page->rejected.end(),
                  std::back_inserter(rejected_));
    }
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

// The same entries come with each reading, so they are logged when their number changes.
void target_list_reader::log_rejected()
{
    if (rejected_count_ == logged_rejected_count_) {
        return;
    }
    logged_rejected_count_ = rejected_count_;
    log_.warn("event=list_entries_rejected count=" + std::to_string(rejected_count_));
    const std::size_t logged = std::min(rejected_.size(), max_logged_entries);
    for (std::size_t i = 0; i < logged; ++i) {
        log_.warn("event=list_entry_rejected reason=\"" + rejected_[i] + "\"");
    }
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
        log_rejected();
        on_list_(term_, std::move(targets_), begun_);
    }
}

} // namespace curranthoist::cored
