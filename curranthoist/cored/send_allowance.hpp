#pragma once

#include "curranthoist/base/instant.hpp"

#include <cstddef>

namespace curranthoist::cored {

// How many bytes of states and lists may leave now. What leaves at once waits in the VM's
// link before everything that follows, heartbeats among it: whole lists for 300 fronts
// kept a link of 100 Mbit/s busy for a second, followers elected another leader, and that
// one sent whole lists again.
class send_allowance
{
public:
    // What may leave at once is what `bytes_per_s` allows in this time, so heartbeats
    // wait for a small part of an election timeout.
    static constexpr base::duration burst{50};

    explicit send_allowance(double bytes_per_s)
        : bytes_per_s_(bytes_per_s)
    {}

    // True if something is left; takes `bytes`, and more than is left if need be, so that
    // a large message leaves too and the next one waits longer.
    bool take(std::size_t bytes, base::instant now);

private:
    double bytes_per_s_;
    double left_ = 0;
    base::instant refilled_;
};

} // namespace curranthoist::cored
