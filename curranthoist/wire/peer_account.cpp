#include "curranthoist/wire/peer_account.hpp"

#include "curranthoist/wire/internal/peer_load.hpp"
#include "curranthoist/wire/peer_connection.hpp"

#include <algorithm>
#include <string>

namespace curranthoist::wire {

namespace {

using namespace base::literals;

constexpr base::duration log_interval = 1000_ms;

} // namespace

void peer_account::add(peer_connection& added)
{
    if (connections_.size() >= limits_.max_connections) {
        const auto chosen = internal::peer_to_close_for_connection(loads(), clock_.now());
        count_one();
        if (!chosen) {
            connections_.push_back(&added);
            added.give_way("too many connections");
            return;
        }
        connections_[*chosen]->give_way("made room for another connection");
    }
    connections_.push_back(&added);
}

void peer_account::remove(const peer_connection& ended)
{
    std::erase(connections_, &ended);
}

bool peer_account::take(const peer_connection& by, std::size_t more)
{
    while (held_bytes_ + more > limits_.max_bytes) {
        const auto chosen = internal::peer_to_close_for_memory(loads(), clock_.now());
        count_one();
        if (!chosen || connections_[*chosen] == &by) {
            return false;
        }
        connections_[*chosen]->give_way("made room for frames of others");
    }
    held_bytes_ += more;
    return true;
}

std::vector<internal::peer_load> peer_account::loads() const
{
    std::vector<internal::peer_load> result;
    result.reserve(connections_.size());
    for (const peer_connection* one : connections_) {
        result.push_back(one->load());
    }
    return result;
}

void peer_account::count_one()
{
    ++gave_way_;
    const base::instant now = clock_.now();
    if (!logged_at_ || now - *logged_at_ >= log_interval) {
        logged_at_ = now;
        log_.warn("event=peers_gave_way since_start=" + std::to_string(gave_way_) +
                  " connections=" + std::to_string(connections_.size()) +
                  " held_bytes=" + std::to_string(held_bytes_));
    }
}

} // namespace curranthoist::wire
