#include "curranthoist/control/claim_store.hpp"

#include <charconv>
#include <string_view>

namespace curranthoist::control {

namespace {

bool same_attempt(const claim_record& a, const claim_record& b)
{
    return a.vm == b.vm && a.run == b.run && a.attempt == b.attempt;
}

} // namespace

std::optional<base::instant> claim_store::time_in(const base::request_id& id)
{
    const std::string_view text = id.str();
    const std::size_t dash = text.find('-');
    if (dash == std::string_view::npos || dash == 0 || dash + 1 == text.size()) {
        return std::nullopt;
    }
    std::int64_t milliseconds = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + dash, milliseconds);
    if (error != std::errc() || end != text.data() + dash || milliseconds < 0) {
        return std::nullopt;
    }
    return base::instant(milliseconds);
}

claim_answer claim_store::claim(const base::request_id& id, const claim_record& wanted,
                                base::instant now)
{
    const std::optional<base::instant> time = time_in(id);
    if (!time) {
        return claim_answer::refused;
    }
    if (*time < now - retention) {
        return claim_answer::expired;
    }
    if (*time > now + max_ahead) {
        return claim_answer::too_new;
    }
    const auto held = claims_.find(key(*time, id));
    if (held != claims_.end()) {
        const claim_answer answer = answer_of(held->second, wanted);
        if (answer != claim_answer::granted) {
            return answer;
        }
        held->second = wanted;
        return answer;
    }
    if (claims_.size() >= max_claims) {
        return claim_answer::refused;
    }
    claims_.emplace(key(*time, id), wanted);
    return claim_answer::granted;
}

claim_answer claim_store::answer_of(const claim_record& held, const claim_record& wanted)
{
    switch (held.status) {
    case claim_status::pending:
        return claim_answer::pending;
    case claim_status::ran:
        return claim_answer::ran;
    case claim_status::unknown:
        return claim_answer::unknown;
    case claim_status::freed:
        break;
    }
    // A delayed duplicate of the attempt that ended must not become its second grant.
    const bool stale =
        held.vm == wanted.vm && held.run == wanted.run && wanted.attempt <= held.attempt;
    return stale ? claim_answer::refused : claim_answer::granted;
}

bool claim_store::record(const base::request_id& id, const claim_record& outcome)
{
    const std::optional<base::instant> time = time_in(id);
    if (!time || outcome.status == claim_status::pending) {
        return false;
    }
    const auto found = claims_.find(key(*time, id));
    if (found == claims_.end() || !same_attempt(found->second, outcome)) {
        return false;
    }
    claim_record& held = found->second;
    if (held.status == claim_status::pending) {
        held.status = outcome.status;
        if (outcome.status == claim_status::ran) {
            keep_body(held, outcome);
        }
    }
    return held.status == outcome.status;
}

void claim_store::keep_body(claim_record& held, const claim_record& outcome)
{
    held.body_bytes = outcome.body_bytes;
    if (outcome.body.size() <= max_kept_body_bytes &&
        total_body_bytes_ + outcome.body.size() <= max_total_body_bytes) {
        held.body = outcome.body;
        total_body_bytes_ += held.body.size();
    }
}

std::size_t claim_store::abandon(const base::vm_id& vm, base::incarnation kept)
{
    std::size_t count = 0;
    for (auto& [id, held] : claims_) {
        if (held.status == claim_status::pending && held.vm == vm && held.run != kept) {
            held.status = claim_status::unknown;
            ++count;
        }
    }
    return count;
}

void claim_store::expire(base::instant now)
{
    while (!claims_.empty() && claims_.begin()->first.first < now - retention) {
        total_body_bytes_ -= claims_.begin()->second.body.size();
        claims_.erase(claims_.begin());
    }
}

const claim_record* claim_store::find(const base::request_id& id) const
{
    const std::optional<base::instant> time = time_in(id);
    if (!time) {
        return nullptr;
    }
    const auto found = claims_.find(key(*time, id));
    return found == claims_.end() ? nullptr : &found->second;
}

std::vector<std::uint8_t> claim_store::response_of(const claim_record& claim)
{
    if (claim.body.size() == claim.body_bytes) {
        return claim.body;
    }
    const std::string text = R"({"response_kept": false, "response_bytes": )" +
                             std::to_string(claim.body_bytes) + "}";
    return {text.begin(), text.end()};
}

bool claim_store::restore(const base::request_id& id, claim_record value)
{
    const std::optional<base::instant> time = time_in(id);
    const std::size_t size = value.body.size();
    if (!time || !claims_.emplace(key(*time, id), std::move(value)).second) {
        return false;
    }
    total_body_bytes_ += size;
    return true;
}

} // namespace curranthoist::control
