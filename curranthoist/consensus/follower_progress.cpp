#include "curranthoist/consensus/follower_progress.hpp"

#include <algorithm>
#include <utility>

namespace curranthoist::consensus {

namespace {

// Before any instant of a clock, far enough from the limits to be subtracted from.
constexpr base::instant long_ago{-1'000'000};

} // namespace

bool follower_progress::may_send(std::size_t max_in_flight) const
{
    return probing_ ? !probe_in_flight_ : in_flight_.size() < max_in_flight;
}

void follower_progress::heard(std::uint64_t round, base::instant now)
{
    round_ = std::max(round_, round);
    last_heard_ = now;
}

void follower_progress::sent_through(base::log_index last)
{
    if (probing_) {
        // next() stays until the answer shows whether the logs agree here.
        probe_in_flight_ = true;
        return;
    }
    next_ = last.next();
    in_flight_.push_back(last);
}

void follower_progress::matched(base::log_index match)
{
    if (match.next() >= next_) {
        probing_ = false;
        probe_in_flight_ = false;
    }
    match_ = std::max(match_, match);
    next_ = std::max(next_, match_.next());
    while (!in_flight_.empty() && in_flight_.front() <= match_) {
        in_flight_.pop_front();
    }
}

void follower_progress::rejected(base::log_index hint)
{
    next_ = std::max(match_.next(), std::min(next_, hint.next()));
    probing_ = true;
    probe_in_flight_ = false;
    in_flight_.clear();
}

void follower_progress::start_snapshot(
    std::shared_ptr<const storage::log_snapshot> snapshot)
{
    snapshot_ = std::move(snapshot);
    snapshot_offset_ = 0;
    chunk_sent_at_ = long_ago;
    in_flight_.clear();
}

bool follower_progress::chunk_due(base::instant now, base::duration retry) const
{
    return now - chunk_sent_at_ >= retry;
}

void follower_progress::chunk_acknowledged(std::uint64_t next_offset)
{
    if (next_offset >= snapshot_->data.size()) {
        const base::log_index index = snapshot_->index;
        snapshot_.reset();
        matched(index);
        return;
    }
    if (next_offset != snapshot_offset_) {
        snapshot_offset_ = next_offset;
        chunk_sent_at_ = long_ago;
    }
}

} // namespace curranthoist::consensus
