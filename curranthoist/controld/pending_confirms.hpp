#pragma once

#include "curranthoist/base/identifiers.hpp"
#include "curranthoist/base/instant.hpp"
#include "curranthoist/http/responder.hpp"

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace curranthoist::controld {

// Operators' requests that wait for the result of their command.
class pending_confirms
{
public:
    // More requests than this are not held at once.
    static constexpr std::size_t max_pending = 1000;
    // An operator learns after this time that the result is not known.
    static constexpr base::duration limit{5000};

    // False if there are too many already.
    bool add(const base::intent_id& id, http::responder answer, base::instant now)
    {
        if (waiting_.size() >= max_pending) {
            return false;
        }
        waiting_.emplace(id, entry{std::move(answer), now + limit});
        return true;
    }
    // Takes out the requests of one intent.
    std::vector<http::responder> take(const base::intent_id& id)
    {
        std::vector<http::responder> taken;
        const auto [first, last] = waiting_.equal_range(id);
        for (auto one = first; one != last; ++one) {
            taken.push_back(std::move(one->second.answer));
        }
        waiting_.erase(first, last);
        return taken;
    }
    // Takes out the requests whose time is over.
    std::vector<http::responder> take_overdue(base::instant now)
    {
        std::vector<http::responder> taken;
        for (auto one = waiting_.begin(); one != waiting_.end();) {
            if (one->second.until <= now) {
                taken.push_back(std::move(one->second.answer));
                one = waiting_.erase(one);
            }
            else {
                ++one;
            }
        }
        return taken;
    }

private:
    struct entry
    {
        http::responder answer;
        base::instant until;
    };

    std::multimap<base::intent_id, entry> waiting_;
};

} // namespace curranthoist::controld
